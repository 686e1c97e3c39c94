#include "membership/objectrecordencoder.h"

#include "foundation/errors.h"
#include "membership/member.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

std::string routesText(int count)
{
    std::string text;
    for (int i = 0; i < count; ++i) {
        text += R"({"name":"r-)" + std::to_string(i) + R"(","host":"a.example","deadlineMs":4000},)";
    }
    return text;
}

TEST(ObjectRecordEncoderTest, LargeConfigurationIsCompressedToLessThanAnEighth)
{
    ObjectRecordEncoder encoder;
    const StoredObject object{"bundle", "main", 7, false, routesText(1400)};
    const wire::ObjectRecordT record = encoder.encode(object);
    EXPECT_LT(record.packed.size() + record.value.size(), object.value.size() / 8);
    EXPECT_EQ(fromRecord(record).value, object.value);
}

TEST(ObjectRecordEncoderTest, NewVersionReplacesCachedValue)
{
    ObjectRecordEncoder encoder;
    encoder.encode({"bundle", "main", 7, false, routesText(100)});
    const StoredObject next{"bundle", "main", 8, false, routesText(101)};
    EXPECT_EQ(fromRecord(encoder.encode(next)).value, next.value);
}

TEST(ObjectRecordEncoderTest, SmallValuesAreNotCompressed)
{
    ObjectRecordEncoder encoder;
    const wire::ObjectRecordT record = encoder.encode({"crash", "c", 1, false, "{}"});
    EXPECT_TRUE(record.packed.empty());
    EXPECT_EQ(fromRecord(record).value, "{}");
}

TEST(ObjectRecordEncoderTest, TruncatedCompressedValueIsRejected)
{
    ObjectRecordEncoder encoder;
    wire::ObjectRecordT record = encoder.encode({"bundle", "main", 7, false, routesText(100)});
    record.packed.resize(record.packed.size() / 2);
    EXPECT_THROW(fromRecord(record), BadFrame);
}

} // namespace

} // namespace mustardpond
