#pragma once

#include "core/runtime_clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace azurehill {

/// \brief Counts calls and bytes by purpose and logs the totals periodically.
///
/// No other log line shows the load of a daemon on the store and the network in normal operation.
/// Not thread-safe.
class traffic_meter
{
public:
    /// \brief Counts a call for \p purpose that sent \p sent and received \p received bytes. Logs
    /// and resets the counts of the previous period (traffic_counted, one line per purpose) if it
    /// is over.
    void onCall(std::string_view purpose, std::size_t sent, std::size_t received, time_point now);

private:
    struct traffic
    {
        std::int64_t calls = 0;
        std::int64_t sent = 0;
        std::int64_t received = 0;
    };

    void report(time_point now);

    std::map<std::string, traffic, std::less<>> m_traffic;
    time_point m_periodStart = runtime_clock::now();
};

} // namespace azurehill
