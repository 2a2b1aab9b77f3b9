#pragma once

/// \file
/// \brief Merges the logs of one or more daemons into the timeline of a request or program.

#include "core/log_event.h"

#include <cstddef>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace azurehill {

/// \brief Parsed line of a daemon's log.
struct log_entry
{
    /// The last word before the JSON object if there is one, otherwise the name of the file.
    std::string source;
    /// UTC time as logged. The format is such that lexicographic order is chronological order.
    std::string time;
    std::string event;
    /// The other fields except the level; values that are not strings are serialised as JSON.
    std::map<std::string, std::string> fields;

    /// \returns the value of the field \p name, or an empty string if there is none.
    std::string_view field(const std::string &name) const;
};

/// \brief Entries of one or more logs, and the number of lines that could not be parsed.
struct parsed_log
{
    std::vector<log_entry> entries;
    /// Lines without a JSON object that has a time and an event; blank lines do not count.
    std::size_t unparsedLines = 0;
};

/// \brief Parses the log \p in and appends its entries to \p into. Text before the first brace of a
/// line is ignored, except that its last word, if any, replaces \p source as the entry's source.
void readLog(std::istream &in, const std::string &source, parsed_log &into);

/// \returns the events of the request or program \p id in chronological order, one per line. Events
/// about the daemons involved, the store and the replicas used are included as context; messages
/// about missing log lines follow.
std::string formatTimeline(const parsed_log &lines, std::string_view id);

} // namespace azurehill
