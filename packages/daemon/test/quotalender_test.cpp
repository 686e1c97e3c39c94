#include "quotalender.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

class QuotaLenderTest : public ::testing::Test
{
protected:
    QuotaLenderTest()
    {
        m_settings.node = "a";
        m_settings.dataCentre = "ost-a";
        m_settings.keys.strict = true;
        m_lender = std::make_unique<QuotaLender>(m_context, m_clock, m_settings);
        m_lender->setOrganisations([this](const std::string &name) {
            return name == m_organisation.name ? std::make_shared<const Organisation>(m_organisation) : nullptr;
        });
        m_lender->setProofCheck([this] { return m_hasProof; });
        m_organisation.name = "vakif";
        m_organisation.ratePerSecond = 10;
        m_organisation.burst = 5;
        setMembers({"a"});
        m_clock.advance(Millis(60000));
    }
    /// @param registered the nodes of the data centre that the store lists
    void restart(std::set<std::string> registered = {})
    {
        m_registered = std::make_shared<const RegisteredHosts>(RegisteredHosts{std::move(registered), 0});
        m_lender = std::make_unique<QuotaLender>(m_context, m_clock, m_settings);
        m_lender->setOrganisations(
            [this](const std::string &) { return std::make_shared<const Organisation>(m_organisation); });
        setMembers({"a"});
    }
    void setMembers(const std::vector<std::string> &nodes)
    {
        FleetView view;
        view.registered = m_registered;
        for (const std::string &node : nodes) {
            Member member;
            member.node = node;
            member.dataCentre = m_settings.dataCentre;
            member.inner = "127.0.0.1:" + std::to_string(node.front());
            view.members.push_back(member);
            if (node == m_settings.node) {
                view.self = member;
            }
        }
        m_lender->update(view);
    }
    wire::QuotaReplyT ask(const std::string &organisation, unsigned count = 1)
    {
        wire::QuotaRequestT request;
        request.organisation = organisation;
        request.count = count;
        wire::QuotaReplyT reply;
        asio::spawn(m_context, [&](const Yield &yield) { reply = m_lender->lend(request, yield); });
        m_context.run();
        m_context.restart();
        return reply;
    }

    asio::io_context m_context;
    ManualClock m_clock;
    DaemonSettings m_settings;
    Organisation m_organisation;
    bool m_hasProof = true;
    std::shared_ptr<const RegisteredHosts> m_registered;
    std::unique_ptr<QuotaLender> m_lender;
};

TEST_F(QuotaLenderTest, GrantsUpToTheLimitAndTellsWhenThereIsCredit)
{
    EXPECT_EQ(ask("vakif", 9).granted, 5U);
    const auto refused = ask("vakif");
    EXPECT_EQ(refused.granted, 0U);
    EXPECT_FALSE(refused.unavailable);
    EXPECT_NEAR(refused.retryAfterMs, 100, 1);
    wire::QuotaReturnT returned;
    returned.organisation = "vakif";
    returned.count = 1;
    m_lender->takeBack(returned);
    EXPECT_EQ(ask("vakif", 9).granted, 1U) << "a request that has not run used up the limit";
}

// When all hosts of a data centre restarted, each was the lender until it knew the others, and admitted the whole
// share.
TEST_F(QuotaLenderTest, AdmitsNothingByItselfUntilItMayKnowTheOthers)
{
    restart();
    m_clock.advance(Millis(1999));
    EXPECT_EQ(ask("vakif").granted, 0U);
    m_clock.advance(Millis(111));
    EXPECT_EQ(ask("vakif").granted, 1U);
}

// Guards against a restarted host that reaches the store but no other host: it lent the data centre's whole share
// beside the lender.
TEST_F(QuotaLenderTest, LendsNothingUntilItReachesMostOfTheRegisteredHosts)
{
    restart({"a", "b", "c"});
    m_clock.advance(Millis(3000));
    EXPECT_TRUE(ask("vakif").unavailable);
    restart({"a"});
    m_clock.advance(Millis(3000));
    EXPECT_FALSE(ask("vakif").unavailable) << "it is the only host of the data centre";
}

// A host with an old configuration would go on lending by a limit that has been lowered.
TEST_F(QuotaLenderTest, LendsNothingWithoutAProofOrForAnUnknownOrganisation)
{
    EXPECT_TRUE(ask("unknown").unavailable);
    m_hasProof = false;
    EXPECT_TRUE(ask("vakif").unavailable);
}

TEST_F(QuotaLenderTest, GrantsAllWhenTheLimitWasLifted)
{
    m_organisation.ratePerSecond = 0;
    EXPECT_EQ(ask("vakif", 9).granted, 9U);
}

// Two members that both lend would admit the limit twice.
TEST_F(QuotaLenderTest, NamesTheLenderWhenItIsAnotherMember)
{
    const std::vector<std::string> all = {"a", "b", "c", "d"};
    setMembers(all);
    for (int number = 0; number < 20; ++number) {
        m_organisation.name = std::to_string(number);
        const std::string lender = firstLender(m_organisation.name, {all.begin(), all.end()});
        EXPECT_EQ(ask(m_organisation.name).redirect,
                  lender == "a" ? std::string() : "127.0.0.1:" + std::to_string(lender.front()));
    }
}

// A router that lost only its path to the lender got 503 for each request of the organisation until the path was back.
TEST_F(QuotaLenderTest, RelaysARequestToALenderThatItsRouterCannotReach)
{
    const std::vector<std::string> all = {"a", "b"};
    while (firstLender(m_organisation.name, {all.begin(), all.end()}) != "b") {
        m_organisation.name += "i";
    }
    tcp::acceptor acceptor(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    FleetView view;
    for (const std::string &node : all) {
        Member member;
        member.node = node;
        member.dataCentre = m_settings.dataCentre;
        member.inner = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        view.members.push_back(member);
    }
    view.self = view.members.front();
    m_lender->update(view);
    asio::spawn(m_context, [this, &acceptor](const Yield &yield) {
        tcp::socket socket(m_context);
        acceptor.async_accept(socket, yield);
        FrameChannel channel(std::move(socket));
        const wire::FrameT frame = channel.receive(Millis(1000), yield);
        ASSERT_NE(frame.body.AsQuotaRequest(), nullptr);
        EXPECT_EQ(frame.body.AsQuotaRequest()->count, 3U);
        wire::QuotaReplyT reply;
        reply.request = frame.body.AsQuotaRequest()->request;
        reply.granted = 3;
        channel.send(packMessage(std::move(reply)), Millis(1000), yield);
    });
    wire::QuotaRequestT request;
    request.request = 7;
    request.organisation = m_organisation.name;
    request.count = 3;
    request.unreachable = "b";
    wire::QuotaReplyT reply;
    asio::spawn(m_context, [&](const Yield &yield) { reply = m_lender->lend(request, yield); });
    m_context.run();
    EXPECT_EQ(reply.granted, 3U);
    EXPECT_EQ(reply.request, 7U);
}

// A host that was cut off from the others took over and lent.
TEST_F(QuotaLenderTest, LendsNothingWhenMostOfTheDataCentreIsGone)
{
    setMembers({"a", "b", "c"});
    setMembers({"a"});
    EXPECT_TRUE(ask("vakif").unavailable);
    m_clock.advance(Millis(10001));
    EXPECT_FALSE(ask("vakif").unavailable) << "the others have been gone for more than 10 s";
}

} // namespace

} // namespace mustardpond
