#include "runtime/timer.h"

namespace azurehill {

awaitable<void> sleepFor(duration d)
{
    timer t(co_await asio::this_coro::executor);
    t.expires_after(d);
    co_await t.async_wait(use_awaitable);
}

} // namespace azurehill
