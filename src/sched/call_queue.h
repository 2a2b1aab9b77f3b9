#pragma once

#include "sched/call.h"

#include <map>

namespace azurehill {

/// \brief Queue of calls that wait for capacity at a replica, in dispatch order.
///
/// The order is the arrival time of the call plus a delay proportional to the service that its
/// program has attained. A queued call is overtaken only by calls of programs with less service
/// that arrive soon after it, so none starves.
class call_queue
{
public:
    using position = std::pair<double, call_number>;
    using container = std::map<position, pending_call>;

    void add(double order, pending_call call);
    /// \returns whether the call was waiting.
    bool remove(call_number number);
    container::iterator erase(container::iterator it);

    container::iterator begin() { return m_calls.begin(); }
    container::iterator end() { return m_calls.end(); }
    std::size_t size() const { return m_calls.size(); }
    bool empty() const { return m_calls.empty(); }

private:
    container m_calls;
};

} // namespace azurehill
