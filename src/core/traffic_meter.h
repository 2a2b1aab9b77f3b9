#pragma once

#include "core/runtime_clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace azurehill {

/// \brief Counts calls and bytes by their purpose, and writes them to the log once in a while.
///
/// What a daemon costs the store and the network while nothing goes wrong shows in no other line.
/// Used from one thread.
class traffic_meter
{
public:
    /// \brief A call for \p purpose sent and received so many bytes. Writes a line for each purpose
    /// (traffic_counted) if the last ones were written long enough ago.
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
