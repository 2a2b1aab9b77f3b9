#pragma once

/// \file
/// \brief Puts together, from the logs of one or many daemons, what became of a request.

#include "core/log_event.h"

#include <cstddef>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace azurehill {

/// \brief One line of a daemon's log.
struct log_entry
{
    /// Who wrote it, if the line says so before its JSON; otherwise the name of the file.
    std::string source;
    /// As written, in UTC; texts of this form sort by time.
    std::string time;
    std::string event;
    /// The other fields as texts.
    std::map<std::string, std::string> fields;

    /// \returns the field \p name, or nothing.
    std::string_view field(const std::string &name) const;
};

/// \brief The lines of logs that can be read, and how many could not.
struct parsed_log
{
    std::vector<log_entry> entries;
    /// Lines that are no JSON objects with a time and an event.
    std::size_t broken = 0;
};

/// \brief Reads the log of \p source and adds its lines to \p into. Text before the first brace of
/// a line is passed over; its last word names the source.
void readLog(std::istream &in, const std::string &source, parsed_log &into);

/// \returns the story of the request or program \p id in time order, one line an event, with what
/// the daemons believed meanwhile of the store and the replicas it met, and with what is missing.
std::string formatTimeline(const parsed_log &lines, std::string_view id);

} // namespace azurehill
