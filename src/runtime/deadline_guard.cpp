#include "runtime/deadline_guard.h"

#include "runtime/timer.h"

namespace azurehill {

struct deadline_guard::state : std::enable_shared_from_this<state>
{
    explicit state(const asio::any_io_executor &executor) : clock(executor) { }

    void arm()
    {
        timerExpiry = deadline;
        armed = true;
        clock.expires_at(deadline);
        clock.async_wait(
            [s = shared_from_this(), wait = ++waitGeneration](boost::system::error_code code) {
                if (!code && s->waitGeneration == wait)
                    s->onTimer();
            });
    }

    void onTimer()
    {
        armed = false;
        if (!watching)
            return;
        if (runtime_clock::now() < deadline) {
            arm();
            return;
        }
        watching = false;
        expired = true;
        onExpiry();
    }

    timer clock;
    time_point deadline;
    /// The time that the timer waits for, at or before the deadline while it watches.
    time_point timerExpiry;
    std::function<void()> onExpiry;
    /// Grows with every wait, so that one that was replaced does nothing any more.
    unsigned waitGeneration = 0;
    bool watching = false;
    bool armed = false;
    bool expired = false;
};

deadline_guard::deadline_guard(const asio::any_io_executor &executor)
    : m_state(std::make_shared<state>(executor))
{ }

deadline_guard::~deadline_guard()
{
    m_state->watching = false;
    ++m_state->waitGeneration;
    m_state->clock.cancel();
}

void deadline_guard::start(time_point until, std::function<void()> onExpiry)
{
    m_state->expired = false;
    m_state->watching = true;
    m_state->deadline = until;
    m_state->onExpiry = std::move(onExpiry);
    // A stream starts and finishes a watch for every token. A timer that is already set for an
    // earlier time stays: when it fires it is set again for what is left.
    if (!m_state->armed || until < m_state->timerExpiry)
        m_state->arm();
}

void deadline_guard::finish()
{
    m_state->watching = false;
}

bool deadline_guard::expired() const
{
    return m_state->expired;
}

} // namespace azurehill
