#include "config/configsnapshot.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

class OrganisationTableTest : public ::testing::Test
{
protected:
    static nlohmann::json entry(const std::string &name, const std::vector<std::string> &keys)
    {
        nlohmann::json hashes = nlohmann::json::array();
        for (const std::string &key : keys) {
            hashes.push_back(toText(hashKey(key, salt())));
        }
        return {{"name", name}, {"keys", hashes}};
    }
    static KeySalt salt()
    {
        static const KeySalt value = randomKeySalt();
        return value;
    }
    std::shared_ptr<const OrganisationTable> apply(const std::vector<nlohmann::json> &entries)
    {
        return applyBundle({{"organisations", {{"salt", toText(salt())}, {"entries", entries}}}});
    }
    std::shared_ptr<const OrganisationTable> applyBundle(nlohmann::json bundle)
    {
        for (const char *const field : {"classes", "services", "routes"}) {
            bundle[field] = nlohmann::json::object();
        }
        m_builder.apply({"bundle", "main", ++m_version, false, bundle.dump()});
        return m_builder.build()->organisations();
    }

    std::uint64_t m_version = 0;
    std::vector<LeftOutOrganisation> m_leftOut;
    ConfigBuilder m_builder{[](const StoredObject &, const std::string &cause) { FAIL() << cause; },
                            [this](const LeftOutOrganisation &leftOut) { m_leftOut.push_back(leftOut); }};
};

TEST_F(OrganisationTableTest, FindsEachKeyOfAnOrganisationAndNoOther)
{
    const auto table = apply({entry("a", {"ka1", "ka2"}), entry("b", {"kb"})});
    EXPECT_EQ(table->findByKey("ka1")->name, "a");
    EXPECT_EQ(table->findByKey("ka2"), table->findByKey("ka1"));
    EXPECT_EQ(table->findByKey("kb")->name, "b");
    for (const char *const key : {"", "k", "ka", "ka11", "KA1"}) {
        EXPECT_EQ(table->findByKey(key), nullptr) << key;
    }
    EXPECT_TRUE(m_leftOut.empty());
}

TEST_F(OrganisationTableTest, ReadsLimitsWithTheirDefaults)
{
    nlohmann::json limited = entry("a", {"ka"});
    limited.update({{"priority", 0}, {"ratePerSecond", 7.5}, {"burst", 3}});
    const auto table = apply({limited, entry("b", {"kb"})});
    EXPECT_EQ(table->findByKey("ka")->priority, 0);
    EXPECT_EQ(table->findByKey("ka")->ratePerSecond, 7.5);
    EXPECT_EQ(table->findByName("a")->burst, 3);
    EXPECT_FALSE(table->findByKey("kb")->priority);
    EXPECT_EQ(table->findByKey("kb")->ratePerSecond, 0);
}

// Nobody may need a key without the field, and nobody may pass with an empty list.
TEST_F(OrganisationTableTest, MissingListIsNoTableAndEmptyListKnowsNoKey)
{
    EXPECT_EQ(apply({})->findByKey("k"), nullptr);
    EXPECT_EQ(applyBundle(nlohmann::json::object()), nullptr)
        << "the list of the configuration before is no longer in force";
}

TEST_F(OrganisationTableTest, WithdrawnKeyIsUnknownInTheNextSnapshot)
{
    const auto before = apply({entry("a", {"old", "new"})});
    EXPECT_EQ(apply({entry("a", {"new"})})->findByKey("old"), nullptr);
    EXPECT_EQ(before->findByKey("old")->name, "a");
}

TEST_F(OrganisationTableTest, KeyOfTwoOrganisationsIsValidForNeither)
{
    const auto table = apply({entry("a", {"shared", "ka"}), entry("b", {"shared", "shared"}), entry("", {"kc"})});
    EXPECT_EQ(table->findByKey("shared"), nullptr);
    EXPECT_EQ(table->findByKey("ka")->name, "a");
    ASSERT_EQ(m_leftOut.size(), 3U);
    EXPECT_EQ(m_leftOut[0].name, "a");
    EXPECT_EQ(m_leftOut[0].keys, 1U);
    EXPECT_EQ(m_leftOut[1].name, "b");
}

TEST_F(OrganisationTableTest, KeyListedTwiceByOneOrganisationIsValid)
{
    EXPECT_EQ(apply({entry("a", {"ka", "ka"})})->findByKey("ka")->name, "a");
}

// One invalid organisation must neither be let through nor take the others with it, and one event names it.
TEST_F(OrganisationTableTest, InvalidOrganisationsAreLeftOutAlone)
{
    const std::string secret = "secret-key";
    std::vector<nlohmann::json> invalid = {
        entry("", {"k0"}),
        entry(std::string(257, 'n'), {"k1"}),
        entry("a\r\nb", {"k2"}),
        entry("tab\t", {"k3"}),
        entry("many", std::vector<std::string>(201, "k4")),
        entry("rate", {"k5"}),
        entry("burst", {"k6"}),
        entry("priority", {"k7"}),
        entry("keys", {"k8"}),
        "text",
    };
    invalid[5]["ratePerSecond"] = -1;
    invalid[6]["burst"] = -0.5;
    invalid[7]["priority"] = nullptr;
    invalid[8]["keys"] = secret;
    invalid.push_back(entry("valid", {"other"}));
    std::vector<nlohmann::json> entries = {entry("valid", {"kv"})};
    entries.insert(entries.end(), invalid.begin(), invalid.end());
    const auto table = apply(entries);
    EXPECT_EQ(table->findByKey("kv")->name, "valid");
    for (int number = 0; number < 9; ++number) {
        EXPECT_EQ(table->findByKey("k" + std::to_string(number)), nullptr) << number;
    }
    EXPECT_EQ(table->findByKey("other"), nullptr) << "the second entry of a name is left out";
    EXPECT_EQ(m_leftOut.size(), invalid.size());
    for (const LeftOutOrganisation &leftOut : m_leftOut) {
        EXPECT_EQ(leftOut.keys, 0U) << leftOut.name;
        EXPECT_LE(leftOut.name.size(), 256U);
        EXPECT_EQ(leftOut.reason.find(secret), std::string::npos);
    }
}

TEST_F(OrganisationTableTest, UnusableKeysAreLeftOutAlone)
{
    nlohmann::json organisation = entry("a", {"ka"});
    organisation["keys"].push_back("");
    organisation["keys"].push_back("plain-key");
    organisation["keys"].push_back(7);
    EXPECT_EQ(apply({organisation})->findByKey("ka")->name, "a");
    ASSERT_EQ(m_leftOut.size(), 1U);
    EXPECT_EQ(m_leftOut[0].keys, 3U);
    EXPECT_EQ(m_leftOut[0].reason.find("plain-key"), std::string::npos);
}

TEST(KeyHashTest, DependsOnTheSaltAndSurvivesItsText)
{
    const KeySalt salt = randomKeySalt();
    const KeyHash hash = hashKey("k", salt);
    EXPECT_TRUE(hash == hashKey("k", salt));
    EXPECT_FALSE(hash == hashKey("k", randomKeySalt()));
    EXPECT_TRUE(*keyHashFromText(toText(hash)) == hash);
    EXPECT_TRUE(hashKey("k", *saltFromText(toText(salt))) == hash);
    EXPECT_FALSE(keyHashFromText(toText(hash) + "A"));
    EXPECT_FALSE(keyHashFromText(toText(hash).substr(1)));
    EXPECT_FALSE(isUsableKey(std::string(4097, 'k')));
    EXPECT_TRUE(isUsableKey(std::string(4096, 'k')));
}

} // namespace

} // namespace mustardpond
