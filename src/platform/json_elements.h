#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace azurehill {

/// \brief Splits the array in the member \p name of the JSON object \p text into its elements.
///
/// Parsed one by one, an element with a number that no type holds, or one that is nested too
/// deeply, fails alone; a parser of the whole text rejects all of it. \returns the texts of the
/// elements, which need not be valid themselves; nothing if \p text is no object with such an
/// array.
std::optional<std::vector<std::string_view>> arrayElements(std::string_view text,
                                                           std::string_view name);

} // namespace azurehill
