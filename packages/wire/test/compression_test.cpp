#include "wire/compression.h"

#include "foundation/errors.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

TEST(CompressionTest, RoundTripsAndShrinksRepetitiveText)
{
    const std::string text = "{\"routes\": [" + std::string(5000, 'r') + "]}";
    const auto compressed = compressBytes(text);
    EXPECT_LT(compressed.size(), text.size() / 10);
    EXPECT_EQ(decompressBytes(compressed, text.size()), text);
}

TEST(CompressionTest, EmptyValueRoundTrips)
{
    EXPECT_EQ(decompressBytes(compressBytes(""), 0), "");
}

TEST(CompressionTest, RejectsWrongDecompressedSize)
{
    const auto compressed = compressBytes("abcdef");
    EXPECT_THROW(decompressBytes(compressed, 5), BadFrame);
    EXPECT_THROW(decompressBytes(compressed, 7), BadFrame);
    EXPECT_THROW(decompressBytes(compressed, MAX_DECOMPRESSED_BYTES + 1), BadFrame);
}

TEST(CompressionTest, RejectsBytesThatAreNotCompressed)
{
    EXPECT_THROW(decompressBytes({1, 2, 3}, 10), BadFrame);
    EXPECT_THROW(decompressBytes({}, 10), BadFrame);
}

} // namespace

} // namespace mustardpond
