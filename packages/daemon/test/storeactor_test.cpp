#include "control/storeactor.h"

#include "foundation/errors.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <atomic>
#include <future>

namespace mustardpond {

namespace {

class MockStore : public ObjectStore
{
public:
    MOCK_METHOD(Listing, list, (), (override));
    MOCK_METHOD(StoredObject, read, (const std::string &kind, const std::string &name), (override));
    MOCK_METHOD(std::uint64_t, write, (const StoredObject &object, std::uint64_t expectedVersion), (override));
    MOCK_METHOD(Listing, watch, (std::uint64_t revision, Millis timeout), (override));
};

/// Runs the actor until its first watch.
class StoreActorTest : public ::testing::Test
{
protected:
    /// Returns the timeout of the watch.
    Millis runUntilWatch(const KeySettings &keys)
    {
        auto store = std::make_unique<::testing::NiceMock<MockStore>>();
        ON_CALL(*store, read).WillByDefault(::testing::Throw(Exception(ErrorKind::NotFound, "none")));
        ON_CALL(*store, write).WillByDefault(::testing::Return(1));
        ON_CALL(*store, list).WillByDefault([] { return Listing{7, {{"bundle", "main", 6, false, "{}"}}, {}}; });
        auto watched = std::make_shared<std::promise<Millis>>();
        EXPECT_CALL(*store, watch)
            .WillOnce([watched](std::uint64_t, Millis timeout) {
                watched->set_value(timeout);
                return Listing{7, {}, {}};
            })
            .WillRepeatedly(::testing::Throw(StoreOutage("store", "cut off")));
        caf::actor_system_config config;
        caf::actor_system system(config);
        const auto members = system.spawn([this]() -> caf::behavior {
            return {
                [this](const StoreProved &proved) {
                    m_proved = proved.proof.version.revision;
                    ++m_proofs;
                },
                [](const StoreChanged &) {},
                [this](const StoreReachability &) { m_cutOff.set_value(); },
            };
        });
        StoreActorInput input;
        input.settings.keys = keys;
        input.members = members;
        input.openStore = [&store] { return std::move(store); };
        const caf::actor actor = system.spawn<caf::detached>(storeActor, input);
        const Millis timeout = watched->get_future().get();
        m_cutOff.get_future().wait();
        caf::anon_send_exit(actor, caf::exit_reason::user_shutdown);
        caf::anon_send_exit(members, caf::exit_reason::user_shutdown);
        return timeout;
    }

    std::atomic<std::uint64_t> m_proved{0};
    std::atomic<int> m_proofs{0};
    std::promise<void> m_cutOff;
};

// Each call to the store is paid for.
TEST_F(StoreActorTest, WithoutStrictKeysTheWatchIsAsLongAsBeforeAndNothingIsProved)
{
    EXPECT_EQ(runUntilWatch(KeySettings()), Millis(2500));
    EXPECT_EQ(m_proofs, 0);
}

TEST_F(StoreActorTest, WithStrictKeysWatchesAreShortAndEachAnswerButNoOutageIsAProof)
{
    EXPECT_EQ(runUntilWatch(KeySettings{true, Millis(5000)}), Millis(1000));
    EXPECT_EQ(m_proved, 6U);
    EXPECT_EQ(m_proofs, 2) << "the list and the watch";
}

} // namespace

} // namespace mustardpond
