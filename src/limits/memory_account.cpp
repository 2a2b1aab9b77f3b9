#include "limits/memory_account.h"

namespace azurehill {

namespace {

/// Part of the limit that holders above maxSmallBytes may use.
constexpr std::int64_t largeNumerator = 3;
constexpr std::int64_t largeDenominator = 4;
/// Part of the limit for small growth of requests in progress.
constexpr std::int64_t reserveDenominator = 16;
/// How many times as large a holder has to be to make way for another.
constexpr std::int64_t displacementFactor = 2;

} // namespace

void memory_account::setLimit(std::int64_t limitBytes)
{
    const std::lock_guard lock(m_mutex);
    m_limit = limitBytes;
}

std::int64_t memory_account::limit() const
{
    const std::lock_guard lock(m_mutex);
    return m_limit;
}

std::int64_t memory_account::usedBytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_used;
}

std::int64_t memory_account::shortages() const
{
    const std::lock_guard lock(m_mutex);
    return m_shortages;
}

bool memory_account::couldHold(std::int64_t bytes) const
{
    const std::lock_guard lock(m_mutex);
    return bytes <= limitFor(bytes);
}

std::int64_t memory_account::reserve() const
{
    return m_limit / reserveDenominator;
}

std::int64_t memory_account::limitFor(std::int64_t bytes) const
{
    return bytes <= maxSmallBytes ? m_limit - reserve()
                                  : m_limit / largeDenominator * largeNumerator;
}

bool memory_account::makeRoom(std::int64_t bytes, std::int64_t weight, std::int64_t growth)
{
    const std::int64_t limit = limitFor(bytes);
    while (m_used + growth > limit) {
        ++m_shortages;
        if (m_revocable.empty() || m_revocable.rbegin()->first < displacementFactor * weight)
            return false;
        holder &largest = *m_revocable.rbegin()->second;
        largest.unlist();
        m_used -= std::exchange(largest.m_bytes, 0);
        largest.m_isRevoked = true;
        largest.m_onRevoked();
    }
    return true;
}

memory_account::holder::holder(memory_account &account, std::function<void()> onRevoked)
    : m_account(account), m_onRevoked(std::move(onRevoked))
{ }

memory_account::holder::~holder()
{
    const std::lock_guard lock(m_account.m_mutex);
    unlist();
    m_account.m_used -= m_bytes;
}

void memory_account::holder::unlist()
{
    if (m_isRevocable)
        m_account.m_revocable.erase({m_bytes, this});
    m_isRevocable = false;
}

void memory_account::holder::list(bool isRevocable)
{
    if (isRevocable)
        m_account.m_revocable.emplace(m_bytes, this);
    m_isRevocable = isRevocable;
}

bool memory_account::holder::resize(std::int64_t bytes, std::int64_t weight)
{
    if (m_isRevoked)
        return false;
    // A holder does not make way for its own growth.
    const bool wasRevocable = m_isRevocable;
    unlist();
    const std::int64_t growth = bytes - m_bytes;
    const bool isGranted = growth <= 0 || m_account.makeRoom(bytes, weight, growth);
    if (isGranted) {
        m_account.m_used += growth;
        m_bytes = bytes;
    }
    list(wasRevocable);
    return isGranted;
}

bool memory_account::holder::tryResize(std::int64_t bytes, std::int64_t weight)
{
    const std::lock_guard lock(m_account.m_mutex);
    return resize(bytes, weight);
}

bool memory_account::holder::tryResizeInProgress(std::int64_t bytes)
{
    const std::lock_guard lock(m_account.m_mutex);
    if (resize(bytes, bytes))
        return true;
    const std::int64_t growth = bytes - m_bytes;
    if (m_isRevoked || m_account.m_used + growth > m_account.m_limit)
        return false;
    m_account.m_used += growth;
    m_bytes = bytes;
    return true;
}

void memory_account::holder::setRevocable(bool isRevocable)
{
    const std::lock_guard lock(m_account.m_mutex);
    if (m_isRevoked || isRevocable == m_isRevocable)
        return;
    unlist();
    list(isRevocable);
}

bool memory_account::holder::isRevoked() const
{
    const std::lock_guard lock(m_account.m_mutex);
    return m_isRevoked;
}

std::int64_t memory_account::holder::bytes() const
{
    const std::lock_guard lock(m_account.m_mutex);
    return m_bytes;
}

} // namespace azurehill
