#include "dispatch/account_shares.h"

#include <cmath>

namespace azurehill {

namespace {

/// Time over which begins count.
constexpr double decaySeconds = 5;
/// Excess over the mean share that is tolerated, as accounts' programs come at random.
constexpr double tolerance = 1.3;
/// Recent begins below which no account is over its share.
constexpr double minBegins = 3;
/// Recent begins below which an account is forgotten.
constexpr double negligible = 0.05;

} // namespace

double account_shares::beginsAt(const share &s, time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - s.updatedAt).count();
    return s.begins * std::exp(-elapsed / decaySeconds);
}

void account_shares::onBegin(const account_id &account, double weight, time_point now)
{
    if (account.empty())
        return;
    share &s = m_shares[account];
    s.begins = beginsAt(s, now) + 1;
    s.weight = weight;
    s.updatedAt = now;
    update(now);
}

bool account_shares::isOverShare(const account_id &account, time_point now) const
{
    const auto found = m_shares.find(account);
    if (found == m_shares.end() || beginsAt(found->second, now) < minBegins)
        return false;
    return beginsAt(found->second, now) / found->second.weight > tolerance * m_mean;
}

void account_shares::update(time_point now)
{
    std::erase_if(m_shares,
                  [now](const auto &item) { return beginsAt(item.second, now) < negligible; });
    double begins = 0;
    double weights = 0;
    for (const auto &[id, s] : m_shares) {
        begins += beginsAt(s, now);
        weights += s.weight;
    }
    m_mean = weights > 0 ? begins / weights : 0;
}

} // namespace azurehill
