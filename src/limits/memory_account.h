#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <utility>

namespace azurehill {

/// \brief Account of the memory that the connections of a process hold together. Thread-safe.
///
/// Each connection is a holder. Where memory is short, a holder that waits for its peer makes way
/// for one that is much smaller, the largest first, so that small requests are served beside any
/// number of unfinished large ones, while requests of about one size don't displace each other.
/// Large holders may use a part of the limit only; the rest is kept for small ones. The last part
/// is a reserve for small growth of requests in progress.
class memory_account
{
public:
    class holder;

    /// Largest size of a holder that may use the whole limit.
    static constexpr std::int64_t maxSmallBytes = 96LL << 10U;

    explicit memory_account(std::int64_t limitBytes) : m_limit(limitBytes) { }

    /// \brief Sets the limit for what is taken from now on.
    void setLimit(std::int64_t limitBytes);
    std::int64_t limit() const;
    /// \returns whether a holder may have \p bytes if there is no other.
    bool couldHold(std::int64_t bytes) const;
    /// \returns the bytes of all holders together.
    std::int64_t usedBytes() const;
    /// \returns the number of holders that were revoked or got less than they asked for.
    std::int64_t shortages() const;

private:
    using revocable_set = std::set<std::pair<std::int64_t, holder *>>;

    /// \returns the part of the limit for small growth of requests in progress.
    std::int64_t reserve() const;
    /// \returns what all holders may have together for one of them to have \p bytes.
    std::int64_t limitFor(std::int64_t bytes) const;
    /// \brief Revokes holders that are much larger than \p weight until \p growth more fits.
    /// \param bytes size of the growing holder.
    /// \returns whether it does.
    bool makeRoom(std::int64_t bytes, std::int64_t weight, std::int64_t growth);

    mutable std::mutex m_mutex;
    std::int64_t m_limit;
    std::int64_t m_used = 0;
    std::int64_t m_shortages = 0;
    /// Holders that may be revoked, by size.
    revocable_set m_revocable;
};

/// \brief What one connection holds. Belongs to its account until it is destroyed.
class memory_account::holder
{
public:
    /// \param account must outlive this object.
    /// \param onRevoked called when the holder is revoked, on the thread of whoever needs the
    /// memory. It must not use the account, and has the connection free its memory soon.
    holder(memory_account &account, std::function<void()> onRevoked);
    ~holder();
    holder(const holder &) = delete;
    holder &operator=(const holder &) = delete;

    /// \brief Changes the size to \p bytes. A smaller size is always granted.
    /// \param weight the part of \p bytes that the peer is to blame for, by which this holder is
    /// compared with those that may be revoked for it.
    /// \returns whether it was granted. A holder that was revoked is granted nothing.
    bool tryResize(std::int64_t bytes, std::int64_t weight);
    bool tryResize(std::int64_t bytes) { return tryResize(bytes, bytes); }
    /// \brief Like tryResize(), for a request that is passed on already, so that it can't be
    /// refused any more. It may use the reserve of the account as well.
    bool tryResizeInProgress(std::int64_t bytes);
    /// \brief Sets whether this holder waits for its peer and may be revoked meanwhile.
    void setRevocable(bool isRevocable);
    bool isRevoked() const;
    std::int64_t bytes() const;

private:
    friend class memory_account;

    void unlist();
    void list(bool isRevocable);
    /// \brief Changes the size to \p bytes if the account allows it, whose mutex is locked.
    bool resize(std::int64_t bytes, std::int64_t weight);

    memory_account &m_account;
    std::function<void()> m_onRevoked;
    std::int64_t m_bytes = 0;
    bool m_isRevocable = false;
    bool m_isRevoked = false;
};

} // namespace azurehill
