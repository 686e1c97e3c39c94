#include "wire/packing.h"

#include "foundation/errors.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

TEST(PackingTest, UnpacksWhatWasPacked)
{
    const std::string text = "{\"routes\": [" + std::string(5000, 'r') + "]}";
    const auto packed = packBytes(text);
    EXPECT_LT(packed.size(), text.size() / 10);
    EXPECT_EQ(unpackBytes(packed, text.size()), text);
}

TEST(PackingTest, AnEmptyValueStaysEmpty)
{
    EXPECT_EQ(unpackBytes(packBytes(""), 0), "");
}

TEST(PackingTest, RejectsBytesOfAnotherSize)
{
    const auto packed = packBytes("abcdef");
    EXPECT_THROW(unpackBytes(packed, 5), BadFrame);
    EXPECT_THROW(unpackBytes(packed, 7), BadFrame);
    EXPECT_THROW(unpackBytes(packed, MAX_UNPACKED_BYTES + 1), BadFrame);
}

TEST(PackingTest, RejectsBytesThatWereNotPacked)
{
    EXPECT_THROW(unpackBytes({1, 2, 3}, 10), BadFrame);
    EXPECT_THROW(unpackBytes({}, 10), BadFrame);
}

} // namespace

} // namespace mustardpond
