#pragma once

#include "sched/call.h"

#include <map>

namespace azurehill {

/// \brief Calls that wait for room, in the order in which they are to go.
///
/// The order is a time: when the call came, later by the service that its program had. A call that
/// waits is overtaken only by calls with less service that come soon after it, so none starves.
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
