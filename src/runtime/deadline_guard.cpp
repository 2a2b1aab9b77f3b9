#include "runtime/deadline_guard.h"

#include "runtime/timer.h"

namespace azurehill {

struct deadline_guard::state
{
    explicit state(const asio::any_io_executor &executor) : clock(executor) { }

    timer clock;
    /// Grows with every start and finish, so that a late expiry sees that it is out of date.
    unsigned watch = 0;
    bool expired = false;
};

deadline_guard::deadline_guard(const asio::any_io_executor &executor)
    : m_state(std::make_shared<state>(executor))
{ }

deadline_guard::~deadline_guard()
{
    finish();
}

void deadline_guard::start(time_point until, std::function<void()> onExpiry)
{
    m_state->expired = false;
    const unsigned watch = ++m_state->watch;
    m_state->clock.expires_at(until);
    m_state->clock.async_wait(
        [s = m_state, watch, onExpiry = std::move(onExpiry)](boost::system::error_code code) {
            if (code || s->watch != watch)
                return;
            s->expired = true;
            onExpiry();
        });
}

void deadline_guard::finish()
{
    ++m_state->watch;
    m_state->clock.cancel();
}

bool deadline_guard::expired() const
{
    return m_state->expired;
}

} // namespace azurehill
