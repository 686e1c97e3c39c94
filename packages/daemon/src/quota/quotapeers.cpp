#include "quotapeers.h"

namespace mustardpond {

QuotaPeers::Replies QuotaPeers::askAll(const std::vector<std::string> &addresses, const wire::QuotaRequestT &request,
                                       Millis timeout, const std::function<bool(const Replies &)> &isEnough,
                                       const Yield &yield)
{
    struct Round {
        explicit Round(asio::io_context &context)
            : timer(context)
        {
        }
        Replies replies;
        std::size_t open = 0;
        bool finished = false; ///< isEnough and what it refers to may no longer exist
        asio::steady_timer timer;
    };
    auto round = std::make_shared<Round>(m_context);
    round->replies.resize(addresses.size());
    round->open = addresses.size();
    for (std::size_t index = 0; index < addresses.size(); ++index) {
        asio::spawn(m_context,
                    [this, round, index, address = addresses[index], request, timeout, &isEnough](const Yield &own) {
                        auto reply = ask<wire::QuotaReplyT>(address, request, timeout, own);
                        if (round->finished) {
                            return;
                        }
                        round->replies[index] = std::move(reply);
                        --round->open;
                        if (round->open == 0 || isEnough(round->replies)) {
                            round->finished = true;
                            round->timer.cancel();
                        }
                    });
    }
    if (!round->finished && round->open > 0) {
        round->timer.expires_after(toDuration(timeout));
        ErrorCode ignored;
        round->timer.async_wait(yield[ignored]);
    }
    round->finished = true;
    return round->replies;
}

void QuotaPeers::send(const std::string &address, const wire::QuotaReturnT &message, Millis timeout, const Yield &yield)
{
    try {
        auto channel = m_pool.acquire(address, timeout, yield);
        channel->send(packMessage(message), timeout, yield);
        m_pool.release(address, std::move(channel));
    } catch (const std::exception &) {
        m_pool.drop(address);
    }
}

} // namespace mustardpond
