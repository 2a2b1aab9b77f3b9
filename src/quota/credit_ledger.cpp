#include "quota/credit_ledger.h"

#include <algorithm>
#include <cmath>

namespace azurehill {

namespace {

/// Part of the credits that programs that begin may use; the rest is for those under way.
constexpr double beginFraction = 0.9;
/// What is taken for a program's requests before any is known, and how many programs that weighs.
constexpr double priorRequests = 6;
constexpr double priorPrograms = 1;
/// After this long what was learned weighs a third.
constexpr duration memory = seconds(20);
/// Part of the bound that is the least level, so that a few requests need no write.
constexpr double minReservationFraction = 0.25;
/// Room that a level leaves above what is lent.
constexpr double reservationHeadroom = 1.5;
/// Factor by which a level that was too low grows.
constexpr int reservationGrowthFactor = 2;

} // namespace

void credit_ledger::expire(time_point now)
{
    while (!m_grants.empty() && m_grants.front().at + m_span < now) {
        // Counted this late, since programs make most of their requests after they began: in a
        // rush of new ones all would seem to make a single request.
        learn(m_grants.front());
        m_grantIds.erase(m_grants.front().id);
        m_grants.pop_front();
    }
    std::erase_if(m_peerCredits, [now](const peer_credits &f) { return f.until < now; });
}

const std::vector<peer_credits> &credit_ledger::foreign(time_point now)
{
    expire(now);
    return m_peerCredits;
}

int credit_ledger::lent(time_point now)
{
    expire(now);
    return static_cast<int>(m_grants.size());
}

int credit_ledger::capacity(int most, time_point now)
{
    int rest = most;
    for (const peer_credits &share : foreign(now))
        rest -= std::min(rest, share.credits);
    return rest;
}

int credit_ledger::begins() const
{
    return static_cast<int>(std::count_if(m_grants.begin(), m_grants.end(), [](const grant &g) {
        return g.use == credit_use::Begin;
    }));
}

double credit_ledger::requestsPerProgram() const
{
    return std::max(1.0, (m_requests + priorRequests) / (m_programs + priorPrograms));
}

void credit_ledger::learn(const grant &g)
{
    const double age = std::chrono::duration<double>(g.at - m_estimateUpdatedAt).count()
        / std::chrono::duration<double>(memory).count();
    const double kept = std::exp(-std::max(0.0, age));
    m_estimateUpdatedAt = g.at;
    m_requests = m_requests * kept + 1;
    m_programs = m_programs * kept + (g.use == credit_use::Begin ? 1 : 0);
}

duration credit_ledger::timeUntilExpired(int count, std::optional<credit_use> use,
                                         time_point now) const
{
    int seen = 0;
    for (const grant &g : m_grants) {
        if (use && g.use != *use)
            continue;
        if (++seen == count)
            return std::max<duration>(g.at + m_span - now, creditLifetime);
    }
    return m_span;
}

std::optional<duration> credit_ledger::admissionDelay(credit_use use, int most, time_point now)
{
    const int all = capacity(most, now);
    const int used = static_cast<int>(m_grants.size());
    const bool isBegin = use == credit_use::Begin;
    const int limit = isBegin ? static_cast<int>(std::ceil(beginFraction * all)) : all;
    if (used >= limit)
        return timeUntilExpired(used - limit + 1, std::nullopt, now);
    if (!isBegin || used == 0)
        return std::nullopt;
    const int programs = std::max(1, static_cast<int>(all / requestsPerProgram()));
    const int begun = begins();
    if (begun >= programs)
        return timeUntilExpired(begun - programs + 1, use, now);
    return std::nullopt;
}

lend_result credit_ledger::lend(const credit_id &id, credit_use use, int most, time_point now)
{
    expire(now);
    if (m_grantIds.contains(id))
        return {};
    if (const auto wait = admissionDelay(use, most, now))
        return {lend_verdict::OverQuota, *wait};
    if (static_cast<int>(m_grants.size()) >= m_reservedCredits)
        return {lend_verdict::ReservationTooSmall, duration::zero()};
    m_grants.push_back({id, use, now});
    m_grantIds.insert(id);
    return {};
}

void credit_ledger::restoreCredit(const credit_id &id)
{
    if (m_grantIds.erase(id) == 0)
        return;
    std::erase_if(m_grants, [&](const grant &g) { return g.id == id; });
}

int credit_ledger::targetReservation(int most, bool isReservationTooSmall, time_point now)
{
    const int used = lent(now);
    const int all = capacity(most, now);
    const int least = static_cast<int>(std::ceil(minReservationFraction * most));
    int wanted = std::max(least, static_cast<int>(std::ceil(reservationHeadroom * used)) + 1);
    if (isReservationTooSmall)
        wanted = std::max(wanted, reservationGrowthFactor * m_reservedCredits);
    // Below what is lent the store would not know of all of it.
    return std::max(std::min(wanted, all), used);
}

} // namespace azurehill
