#include "membership/objectrecordencoder.h"

#include "config/objecttable.h"
#include "foundation/bytes.h"
#include "wire/compression.h"

namespace mustardpond {

namespace {

constexpr std::size_t MIN_COMPRESSED_VALUE_BYTES = 1 * KIB; ///< compression gains little on smaller values

} // namespace

wire::ObjectRecordT ObjectRecordEncoder::encode(const StoredObject &object)
{
    wire::ObjectRecordT record;
    record.kind = object.kind;
    record.name = object.name;
    record.version = object.version.revision;
    record.edition = object.version.edition;
    record.era = object.version.era;
    record.deleted = object.deleted;
    if (object.value.size() < MIN_COMPRESSED_VALUE_BYTES) {
        record.value = object.value;
        return record;
    }
    CompressedValue &compressed = m_compressed[ObjectTable::keyOf(object.kind, object.name)];
    if (compressed.version != object.version) {
        compressed = {object.version, compressBytes(object.value)};
    }
    record.packed = compressed.bytes;
    record.size = static_cast<std::uint32_t>(object.value.size());
    return record;
}

} // namespace mustardpond
