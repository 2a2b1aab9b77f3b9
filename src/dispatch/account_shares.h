#pragma once

#include "accounts/account_config.h"
#include "core/core.h"

#include <map>

namespace azurehill {

/// \brief Shares of the client accounts in the programs that recently began.
///
/// An account that sends many times its usual must not take the capacity of the others: while it
/// has more than its share, programs of others begin first.
class account_shares
{
public:
    /// \brief A program of \p account begins.
    /// \param weight weight by which accounts share; must be above 0.
    void onBegin(const account_id &account, double weight, time_point now);
    /// \returns whether \p account has had clearly more than the mean of all accounts, by weight.
    bool isOverShare(const account_id &account, time_point now) const;
    /// \brief Updates the mean of all accounts, and removes those without recent programs. To be
    /// called some times per second: a queue asks for each of its turns who is over the mean.
    void update(time_point now);

private:
    struct share
    {
        /// Recent begins, decayed until \c updatedAt.
        double begins = 0;
        double weight = 1;
        time_point updatedAt;
    };

    static double beginsAt(const share &s, time_point now);

    std::map<account_id, share> m_shares;
    /// Mean of the recent begins by weight, at the last update.
    double m_mean = 0;
};

} // namespace azurehill
