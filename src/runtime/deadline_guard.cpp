#include "runtime/deadline_guard.h"

#include "runtime/timer.h"

namespace azurehill {

struct deadline_guard::state : std::enable_shared_from_this<state>
{
    explicit state(const asio::any_io_executor &executor) : waitTimer(executor) { }

    void arm()
    {
        timerExpiry = deadline;
        armed = true;
        waitTimer.expires_at(deadline);
        waitTimer.async_wait(
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

    timer waitTimer;
    time_point deadline;
    /// Time for which the timer is set. While an operation is watched, it is not after the
    /// deadline.
    time_point timerExpiry;
    std::function<void()> onExpiry;
    /// Number of the latest wait. Handlers of earlier waits compare their own number with it and
    /// return.
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
    m_state->waitTimer.cancel();
}

void deadline_guard::start(time_point until, std::function<void()> onExpiry)
{
    m_state->expired = false;
    m_state->watching = true;
    m_state->deadline = until;
    m_state->onExpiry = std::move(onExpiry);
    // A stream starts and finishes a watch for every token, so the timer is not reset if it is
    // already set for an earlier time: when it fires, it is set again for the new deadline.
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
