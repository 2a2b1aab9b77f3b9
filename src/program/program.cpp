#include "program/program.h"

namespace azurehill {

std::int64_t program::freeTokens() const
{
    return budgetTokens - spentTokens - (open ? open->reservedTokens : 0);
}

} // namespace azurehill
