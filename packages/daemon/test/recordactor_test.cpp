#include "control/storeactor.h"

#include "foundation/errors.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

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

// An answer of the store with fields of another type ended the actor: later deregistrations were never recorded.
TEST(RecordActorTest, AnOddAnswerOfTheStoreIsRetried)
{
    auto store = std::make_unique<::testing::NiceMock<MockStore>>();
    EXPECT_CALL(*store, write)
        .WillOnce(::testing::Throw(std::runtime_error("type must be number, but is string")))
        .WillOnce(::testing::Return(2));
    caf::actor_system_config config;
    caf::actor_system system(config);
    StoreActorInput input;
    input.openStore = [&store] { return std::move(store); };
    const caf::actor actor = system.spawn<caf::detached>(recordActor, input);
    const auto done = std::make_shared<std::promise<void>>();
    RecordRequested request;
    request.number = 1;
    request.done = [done] { done->set_value(); };
    caf::anon_send(actor, request);
    EXPECT_EQ(done->get_future().wait_for(std::chrono::seconds(5)), std::future_status::ready);
    caf::anon_send_exit(actor, caf::exit_reason::user_shutdown);
}

} // namespace

} // namespace mustardpond
