#include "net/listener.h"

#include <gtest/gtest.h>

#include <thread>

namespace mustardpond {

namespace {

// A daemon ended at its start, as the process before it still held the address.
TEST(ListenerTest, WaitsForAnAddressThatIsInUse)
{
    asio::io_context context;
    tcp::acceptor earlier(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const Endpoint address{"127.0.0.1", earlier.local_endpoint().port()};
    const auto listener = std::make_shared<Listener>(context, address, [](tcp::socket, const Yield &) {});
    std::thread end([&earlier] {
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        earlier.close();
    });
    EXPECT_NO_THROW(listener->start());
    end.join();
    listener->stop();
}

TEST(ListenerTest, FailsAtOnceForAnAddressOfAnotherHost)
{
    asio::io_context context;
    const auto listener =
        std::make_shared<Listener>(context, Endpoint{"192.0.2.1", 9000}, [](tcp::socket, const Yield &) {});
    EXPECT_THROW(listener->start(), boost::system::system_error);
}

} // namespace

} // namespace mustardpond
