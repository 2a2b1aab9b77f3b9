#include "quota/credit_ledger.h"

#include <algorithm>
#include <cmath>

namespace azurehill {

namespace {

/// Fraction of the credits that is available to the first turns of programs. The rest is kept
/// for running programs.
constexpr double beginFraction = 0.9;
/// Prior of the estimate of requests per program: the assumed mean, and its weight in programs.
constexpr double priorRequests = 6;
constexpr double priorPrograms = 1;
/// Time constant of the exponential decay of the estimate: a sample of this age weighs 1/e, about a
/// third.
constexpr duration memory = seconds(20);
/// Minimum reservation as a fraction of the quota limit, so that a few requests need no write.
constexpr double minReservationFraction = 0.25;
/// Ratio of the reservation to the credits that are lent.
constexpr double reservationHeadroom = 1.5;
/// Factor by which a reservation that was too small grows.
constexpr int reservationGrowthFactor = 2;

} // namespace

void credit_ledger::expire(time_point now)
{
    while (!m_grants.empty() && m_grants.front().at + m_span < now) {
        // Grants enter the estimate only when they expire, because programs make most of their
        // requests after their first turn: during a burst of new programs, each would otherwise
        // seem to make a single request.
        updateRequestEstimate(m_grants.front());
        m_grantIds.erase(m_grants.front().id);
        m_grants.pop_front();
    }
    std::erase_if(m_peerCredits, [now](const peer_credits &f) { return f.until < now; });
}

const std::vector<peer_credits> &credit_ledger::peerCredits(time_point now)
{
    expire(now);
    return m_peerCredits;
}

int credit_ledger::lentCredits(time_point now)
{
    expire(now);
    return static_cast<int>(m_grants.size());
}

int credit_ledger::lendableCredits(int quotaLimit, time_point now)
{
    int rest = quotaLimit;
    for (const peer_credits &share : peerCredits(now))
        rest -= std::min(rest, share.credits);
    return rest;
}

int credit_ledger::programsBegun() const
{
    return static_cast<int>(std::count_if(m_grants.begin(), m_grants.end(), [](const grant &g) {
        return g.use == credit_use::Begin;
    }));
}

double credit_ledger::requestsPerProgram() const
{
    return std::max(1.0, (m_requests + priorRequests) / (m_programs + priorPrograms));
}

void credit_ledger::updateRequestEstimate(const grant &g)
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

std::optional<duration> credit_ledger::admissionDelay(credit_use use, int quotaLimit,
                                                      time_point now)
{
    const int all = lendableCredits(quotaLimit, now);
    const int used = static_cast<int>(m_grants.size());
    const bool isBegin = use == credit_use::Begin;
    const int limit = isBegin ? static_cast<int>(std::ceil(beginFraction * all)) : all;
    if (used >= limit)
        return timeUntilExpired(used - limit + 1, std::nullopt, now);
    if (!isBegin || used == 0)
        return std::nullopt;
    const int programs = std::max(1, static_cast<int>(all / requestsPerProgram()));
    const int begun = programsBegun();
    if (begun >= programs)
        return timeUntilExpired(begun - programs + 1, use, now);
    return std::nullopt;
}

lend_result credit_ledger::lend(const credit_id &id, credit_use use, int quotaLimit, time_point now)
{
    expire(now);
    if (m_grantIds.contains(id))
        return {};
    if (const auto wait = admissionDelay(use, quotaLimit, now))
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

int credit_ledger::targetReservation(int quotaLimit, bool isReservationTooSmall, time_point now)
{
    const int used = lentCredits(now);
    const int all = lendableCredits(quotaLimit, now);
    const int minReservation = static_cast<int>(std::ceil(minReservationFraction * quotaLimit));
    int target
        = std::max(minReservation, static_cast<int>(std::ceil(reservationHeadroom * used)) + 1);
    if (isReservationTooSmall)
        target = std::max(target, reservationGrowthFactor * m_reservedCredits);
    // The reservation in the store must cover all credits that are lent.
    return std::max(std::min(target, all), used);
}

} // namespace azurehill
