#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace azurehill {

/// \brief One value that differs between two documents.
struct config_change
{
    /// JSON pointer.
    std::string path;
    /// JSON texts; empty where the document has no such value.
    std::string before;
    std::string after;
};

/// \returns what differs between two JSON texts, in the order of their paths; a text that is not
/// JSON counts as null.
std::vector<config_change> diffJson(std::string_view before, std::string_view after);

} // namespace azurehill
