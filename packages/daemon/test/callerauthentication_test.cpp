#include "callerauthentication.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace mustardpond {

namespace {

constexpr const char FIELD[] = "Organisation-Of-Key";

class CallerAuthenticationTest : public ::testing::Test
{
protected:
    CallerAuthenticationTest()
        : m_config(configWith(true))
    {
        m_request.workClass.priority = 5;
    }
    static std::shared_ptr<const ConfigSnapshot> configWith(bool organisations)
    {
        const KeySalt salt = randomKeySalt();
        nlohmann::json bundle = {{"classes", nlohmann::json::object()},
                                 {"services", nlohmann::json::object()},
                                 {"routes", nlohmann::json::object()}};
        if (organisations) {
            bundle["organisations"] = {
                {"salt", toText(salt)},
                {"entries",
                 {{{"name", "first"}, {"keys", {toText(hashKey("k1", salt))}}, {"priority", 0}},
                  {{"name", "second"}, {"keys", {toText(hashKey("k2", salt)), toText(hashKey("a b", salt))}}}}}};
        }
        ConfigBuilder builder([](const StoredObject &, const std::string &cause) { FAIL() << cause; });
        builder.apply({"bundle", "main", 1, false, bundle.dump()});
        return builder.build();
    }
    KeyProblem check(const std::vector<std::string> &values)
    {
        http::fields head;
        for (const std::string &value : values) {
            head.insert(http::field::authorization, value);
        }
        return authenticate(*m_config, m_route, head, m_request);
    }
    void addHeader(const std::string &name, const std::string &value)
    {
        auto header = std::make_unique<wire::HeaderT>();
        header->name = name;
        header->value = value;
        m_request.headers.push_back(std::move(header));
    }
    std::string headersAfterReplacement()
    {
        replaceKeyFields(*m_config, FIELD, m_request);
        std::string text;
        for (const auto &header : m_request.headers) {
            text += header->name + "=" + header->value + ";";
        }
        return text;
    }

    std::shared_ptr<const ConfigSnapshot> m_config;
    RouteObject m_route;
    CallerRequest m_request;
};

TEST_F(CallerAuthenticationTest, KnownKeyGivesTheOrganisationAndItsPriority)
{
    EXPECT_EQ(check({"Bearer k1"}), KeyProblem::None);
    EXPECT_EQ(m_request.authenticated->name, "first");
    EXPECT_EQ(m_request.workClass.priority, 0);
}

TEST_F(CallerAuthenticationTest, WithoutAPriorityThatOfTheClassStays)
{
    EXPECT_EQ(check({"bEaReR k2"}), KeyProblem::None);
    EXPECT_EQ(m_request.authenticated->name, "second");
    EXPECT_EQ(m_request.workClass.priority, 5);
}

TEST_F(CallerAuthenticationTest, RejectsEverythingButOneKnownKey)
{
    EXPECT_EQ(check({}), KeyProblem::Missing);
    EXPECT_EQ(check({"Bearer k1", "Bearer k1"}), KeyProblem::Repeated);
    EXPECT_EQ(check({"Bearer k1", "Basic k1"}), KeyProblem::Repeated);
    for (const char *const value : {"Bearer unknown", "Bearer K1", "Bearer k1,Bearer k1"}) {
        EXPECT_EQ(check({value}), KeyProblem::Unknown) << value;
    }
    for (const char *const value : {"", "Bearer", "Bearer ", "Bearer  k1", "Bearer \tk1", "Bearer\tk1", "Bearerk1",
                                    "k1", "Basic k1", "Basic Bearer k1"}) {
        EXPECT_EQ(check({value}), KeyProblem::Malformed) << value;
    }
    EXPECT_EQ(m_request.authenticated, nullptr);
}

TEST_F(CallerAuthenticationTest, ExemptRouteRejectsNobodyButUsesAKnownKey)
{
    m_route.keyExempt = true;
    EXPECT_EQ(check({"Bearer unknown"}), KeyProblem::None);
    EXPECT_EQ(check({"Bearer k1", "Bearer k1"}), KeyProblem::None);
    EXPECT_EQ(m_request.authenticated, nullptr);
    EXPECT_EQ(check({"Bearer k1"}), KeyProblem::None);
    EXPECT_EQ(m_request.authenticated->name, "first");
}

TEST_F(CallerAuthenticationTest, InnerCallNeedsNoKeyAndGetsNoOrganisation)
{
    m_request.inner = true;
    EXPECT_EQ(check({"Bearer k1"}), KeyProblem::None);
    EXPECT_EQ(m_request.authenticated, nullptr);
    EXPECT_EQ(m_request.workClass.priority, 5);
}

// A call was denied for good when its parent ran since before the start of this process.
TEST_F(CallerAuthenticationTest, ACallWhoseParentIsUnknownIsNotDeniedForGood)
{
    m_request.mayBeInner = true;
    EXPECT_EQ(check({}), KeyProblem::ParentUnknown);
    m_route.keyExempt = true;
    EXPECT_EQ(check({}), KeyProblem::None);
}

// A caller could otherwise use operations of another organisation.
TEST_F(CallerAuthenticationTest, TheKeyDecidesAgainstTheOrganisationThatTheCallerNames)
{
    m_request.organisation = "second";
    EXPECT_EQ(check({"Bearer k1"}), KeyProblem::None);
    EXPECT_EQ(m_request.organisation, "first");
    m_route.keyExempt = true;
    EXPECT_EQ(check({}), KeyProblem::None);
    EXPECT_EQ(m_request.organisation, "");
}

TEST_F(CallerAuthenticationTest, UpstreamGetsTheNameAndNeitherKeyNorForgedName)
{
    check({"Bearer k1"});
    addHeader("AUTHORIZATION", "Bearer k1");
    addHeader("organisation-OF-key", "forged");
    addHeader("Other", "o");
    addHeader("authorization", "Bearer k1");
    EXPECT_EQ(headersAfterReplacement(), "Other=o;Organisation-Of-Key=first;");
    m_request.authenticated = nullptr;
    EXPECT_EQ(headersAfterReplacement(), "Other=o;");
}

TEST_F(CallerAuthenticationTest, WithoutOrganisationsNothingIsCheckedOrChanged)
{
    m_config = configWith(false);
    m_request.organisation = "second";
    EXPECT_EQ(check({"Basic anything", "twice"}), KeyProblem::None);
    EXPECT_EQ(m_request.organisation, "second");
    addHeader("Authorization", "Basic anything");
    addHeader(FIELD, "own");
    EXPECT_EQ(headersAfterReplacement(), "Authorization=Basic anything;Organisation-Of-Key=own;");
}

} // namespace

} // namespace mustardpond
