#pragma once

#include "core/runtime_clock.h"
#include "turns/token_account.h"
#include "turns/turn.h"

#include <map>
#include <string>

namespace azurehill {

/// \brief Decides how long the rows of turns and accounts are kept after they were written.
///
/// A row states how long it is kept, so that all daemons decide alike. A route whose retention time
/// was made longer since keeps its earlier turns longer as well; a shorter one does not affect
/// them.
class retention_policy
{
public:
    /// \brief Sets the retention times of the current routes by the routes' names.
    void setRoutes(std::map<std::string, duration> retentions);

    /// \returns how long the rows of \p t are kept.
    duration of(const turn &t) const;
    /// \returns how long the row of \p account is kept.
    duration of(const token_account &account) const;
    /// \returns the longest retention time of any route so far. Rows that state none, since an
    /// earlier release wrote them or they can't be decoded, are kept for as long.
    duration longest() const { return m_longest; }

private:
    std::map<std::string, duration> m_routes;
    duration m_longest = seconds(60);
};

} // namespace azurehill
