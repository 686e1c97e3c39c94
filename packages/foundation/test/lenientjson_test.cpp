#include "foundation/lenientjson.h"

#include "foundation/errors.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace mustardpond {

namespace {

std::string listWith(const std::string &oddValue)
{
    return R"({"items": [{"name": "a", "value": 1}, {"name": "odd", "value": )" + oddValue
        + R"(}, {"name": "z", "value": 2}], "rev": 7})";
}

void expectOthersKept(const nlohmann::json &list)
{
    ASSERT_EQ(list.at("items").size(), 3U);
    EXPECT_EQ(list["items"][0]["value"], 1);
    EXPECT_EQ(list["items"][1]["name"], "odd");
    EXPECT_EQ(list["items"][2]["value"], 2);
    EXPECT_EQ(list["rev"], 7);
}

TEST(LenientJsonTest, DropsWhatIsNestedTooDeeply)
{
    const auto list = parseJsonLeniently(listWith(std::string(200000, '[') + std::string(200000, ']')), "the list");
    expectOthersKept(list);
    EXPECT_NO_THROW(list.dump());
}

TEST(LenientJsonTest, ReplacesNumbersThatAreTooLargeByNull)
{
    const auto list = parseJsonLeniently(listWith("[1e999, -1e999, \"1e999\", 1e3]"), "the list");
    expectOthersKept(list);
    EXPECT_EQ(list["items"][1]["value"], nlohmann::json::parse(R"([null, null, "1e999", 1000.0])"));
}

TEST(LenientJsonTest, ReplacesInvalidUtf8)
{
    expectOthersKept(parseJsonLeniently(listWith("\"\xff\xfe\""), "the list"));
}

TEST(LenientJsonTest, RejectsTextThatIsNotJson)
{
    EXPECT_THROW(parseJsonLeniently("{\"items\": [", "the list"), InvalidDocument);
    EXPECT_THROW(parseJsonLeniently("", "the list"), InvalidDocument);
}

// The store's texts contain keys of callers, and the message goes to the log.
TEST(LenientJsonTest, ErrorsDoNotQuoteTheText)
{
    for (const char *const text :
         {R"(["a", "secret)", R"(["secret" "secret"])", "[secret]", "[1,\"secret\n\"]", R"(["secret\q"])"}) {
        try {
            parseJsonLeniently(text, "the list");
            FAIL() << text;
        } catch (const InvalidDocument &error) {
            const std::string message = error.what();
            EXPECT_EQ(message.find("secret"), std::string::npos) << message;
            EXPECT_NE(message.find("parse error at line"), std::string::npos) << message;
        }
    }
}

} // namespace

} // namespace mustardpond
