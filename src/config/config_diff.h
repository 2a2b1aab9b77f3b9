#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace azurehill {

/// \brief A value that differs between two JSON documents.
struct config_change
{
    /// JSON pointer.
    std::string path;
    /// The values as JSON text; empty if the document has no value at the path.
    std::string before;
    std::string after;
};

/// \returns the differences between two JSON texts, sorted by path. A text that is not valid JSON
/// counts as null.
std::vector<config_change> diffJson(std::string_view before, std::string_view after);

} // namespace azurehill
