#include "sched/retry_budget.h"

#include <algorithm>

namespace azurehill {

namespace {

constexpr double maxBudgetTokens = 20;
constexpr int maxAttempts = 3;
constexpr double firstDelaySeconds = 0.05;

} // namespace

void retry_budget::onCall()
{
    m_tokens = std::min(m_tokens + m_ratio, maxBudgetTokens);
}

std::optional<duration> retry_budget::take(outcome ended, bool idempotent, int attempt)
{
    const bool repeatable
        = ended == outcome::DidNotRun || (ended == outcome::Unknown && idempotent);
    if (!repeatable || attempt >= maxAttempts || m_tokens < 1)
        return std::nullopt;
    m_tokens -= 1;
    std::uniform_real_distribution<double> jitter(0, firstDelaySeconds * (1 << attempt));
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(jitter(m_random)));
}

} // namespace azurehill
