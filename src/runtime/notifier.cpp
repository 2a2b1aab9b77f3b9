#include "runtime/notifier.h"

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>

namespace azurehill {

std::uint64_t notifier::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_version;
}

void notifier::notifyAll()
{
    std::vector<std::function<void()>> waiters;
    {
        const std::lock_guard lock(m_mutex);
        ++m_version;
        waiters.swap(m_waiters);
    }
    for (const auto &resume : waiters)
        resume();
}

bool notifier::addWaiter(std::uint64_t seen, std::function<void()> resume)
{
    const std::lock_guard lock(m_mutex);
    if (m_version != seen)
        return false;
    m_waiters.push_back(std::move(resume));
    return true;
}

awaitable<void> notifier::waitForChangeSince(std::uint64_t seen)
{
    auto initiate = [this, seen](auto handler) {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        auto resume = [shared] {
            auto executor = asio::get_associated_executor(*shared);
            asio::post(executor, [shared] { std::move (*shared)(); });
        };
        if (!addWaiter(seen, resume))
            resume();
    };
    co_await asio::async_initiate<decltype(use_awaitable), void()>(initiate, use_awaitable);
}

} // namespace azurehill
