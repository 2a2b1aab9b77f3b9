#pragma once

#include "quarantine/crash_ledger.h"

#include <string>
#include <string_view>
#include <variant>

namespace azurehill {

/// \brief Reports what its sender knows of some requests.
struct crash_notice
{
    /// Number to repeat in the acknowledgement; 0 if none is wanted.
    std::uint64_t number = 0;
    std::vector<crash_report> reports;
};

/// \brief Acknowledges a notice, and reports what the receiver now knows of its requests.
struct crash_acknowledgement
{
    std::uint64_t number = 0;
    std::vector<crash_report> reports;
};

/// \brief Asks for all requests that may not be sent.
struct crash_query
{ };

/// \brief Datagram between daemons on the replicas that ended under requests.
using crash_message = std::variant<crash_notice, crash_acknowledgement, crash_query>;

/// Maximum number of reports in one message, which then has some 6 KB.
constexpr std::size_t maxReportsPerMessage = 8;

/// \returns \p message encoded as the payload of a datagram.
std::string encodeCrashMessage(const crash_message &message);
/// \returns the message decoded from \p text, or nothing if it is malformed.
std::optional<crash_message> decodeCrashMessage(std::string_view text);

} // namespace azurehill
