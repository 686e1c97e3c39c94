#include "foundation/fieldreader.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

template <typename Action>
std::string messageOf(Action action)
{
    try {
        action();
    } catch (const Exception &error) {
        return error.what();
    }
    return "nothing was thrown";
}

TEST(FieldReaderTest, ErrorNamesFieldValueAndRemedy)
{
    const auto document = nlohmann::json::parse(R"({"limits": {"bytes": -1}})");
    FieldReader reader(document, "");
    FieldReader limits = reader.object("limits");
    EXPECT_EQ(messageOf([&] {
                  limits.number("bytes", {1, 10});
              }),
              "field 'limits.bytes' is -1: write a number from 1 to 10");
    EXPECT_EQ(messageOf([&] { limits.text("name"); }),
              "field 'limits.name' is missing: write a text of at least one character");
}

TEST(FieldReaderTest, UnknownFieldErrorListsTheKnownFields)
{
    const auto document = nlohmann::json::parse(R"({"floor": 0.5, "flor": 1})");
    FieldReader reader(document, "");
    reader.number("floor", {0, 1});
    EXPECT_EQ(messageOf([&] { reader.rejectUnknownFields(); }),
              "field 'flor' is 1: remove it; the fields known here are floor");
}

TEST(FieldReaderTest, ErrorShortensLongValues)
{
    const nlohmann::json document = {{"slots", std::string(100000, 'x')}};
    FieldReader reader(document, "");
    EXPECT_LT(messageOf([&] { reader.number("slots", {1, 10}); }).size(), 400U);
}

TEST(FieldReaderTest, ErrorShortensLongValuesBetweenCharacters)
{
    for (const char *start : {"", "x"}) {
        std::string value = start;
        for (int count = 0; count < 200; ++count) {
            value += "\u00fc";
        }
        const nlohmann::json document = {{"name", value}};
        FieldReader reader(document, "");
        const nlohmann::json message = messageOf([&] { reader.number("name", {1, 10}); });
        EXPECT_NO_THROW(message.dump()) << "the message is not valid UTF-8";
    }
}

TEST(FieldReaderTest, DeeplyNestedTextIsRejectedAsADocument)
{
    const std::string nested = std::string(200000, '[') + std::string(200000, ']');
    EXPECT_NE(messageOf([&] { parseJson("{\"service\": " + nested + "}", "the heartbeat"); }).find("nested"),
              std::string::npos);
    const std::string shallow = std::string(60, '[') + std::string(60, ']');
    EXPECT_NO_THROW(parseJson(shallow, "the heartbeat"));
}

TEST(FieldReaderTest, ParseErrorNamesItsSource)
{
    EXPECT_NE(messageOf([] { parseJson("{", "node.json"); }).find("node.json is not a valid JSON document"),
              std::string::npos);
}

} // namespace

} // namespace mustardpond
