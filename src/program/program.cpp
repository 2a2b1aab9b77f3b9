#include "program/program.h"

namespace azurehill {

std::int64_t program::freeTokens() const
{
    return budgetTokens - spentTokens - reservedTokens;
}

} // namespace azurehill
