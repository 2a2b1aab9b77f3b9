#include "sched/call_queue.h"

#include <algorithm>

namespace azurehill {

void call_queue::add(double order, pending_call call)
{
    const position at(order, call.number);
    m_calls.emplace(at, std::move(call));
}

bool call_queue::remove(call_number number)
{
    const auto it = std::find_if(m_calls.begin(), m_calls.end(),
                                 [&](const auto &c) { return c.first.second == number; });
    if (it == m_calls.end())
        return false;
    m_calls.erase(it);
    return true;
}

call_queue::container::iterator call_queue::erase(container::iterator it)
{
    return m_calls.erase(it);
}

} // namespace azurehill
