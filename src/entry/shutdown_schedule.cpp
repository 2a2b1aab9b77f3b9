#include "entry/shutdown_schedule.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Callers cache a look-up for its time to live, and some for three times as long; after that, no
/// caller comes that could know a better address.
constexpr duration lookupStaleTime = milliseconds(3500);
/// Time that is kept free at the end of the grace time, and its share of a short grace time.
constexpr duration maxClosingTime = milliseconds(600);
constexpr int closingTimeDivisor = 8;

} // namespace

shutdown_schedule::shutdown_schedule(time_point began, duration grace)
{
    const duration closingTime = std::min<duration>(maxClosingTime, grace / closingTimeDivisor);
    m_answerDeadline = began + grace - closingTime;
    m_latestEnd = began + grace - closingTime / 2;
    m_earliestEnd = std::min(began + lookupStaleTime, m_answerDeadline);
}

} // namespace azurehill
