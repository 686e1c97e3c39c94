#include "membership/packedobjects.h"

#include "config/objecttable.h"
#include "foundation/bytes.h"
#include "wire/packing.h"

namespace mustardpond {

namespace {

constexpr std::size_t PACKED_FROM_BYTES = 1 * KIB; ///< smaller values gain little

} // namespace

wire::ObjectRecordT PackedObjects::record(const StoredObject &object)
{
    wire::ObjectRecordT record;
    record.kind = object.kind;
    record.name = object.name;
    record.version = object.version;
    record.deleted = object.deleted;
    if (object.value.size() < PACKED_FROM_BYTES) {
        record.value = object.value;
        return record;
    }
    Packed &packed = m_packed[ObjectTable::keyOf(object.kind, object.name)];
    if (packed.version != object.version) {
        packed = {object.version, packBytes(object.value)};
    }
    record.packed = packed.bytes;
    record.size = static_cast<std::uint32_t>(object.value.size());
    return record;
}

} // namespace mustardpond
