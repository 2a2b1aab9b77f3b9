#pragma once

#include "lending/lender_view.h"
#include "routes/routes.h"
#include "rows/unreadable_row_log.h"
#include "store/store.h"

#include <array>
#include <optional>

namespace azurehill {

/// \brief Server side of distributed quotas: holds quota rows in the store, each like a lease on a
/// shard of accounts, and lends the credits that they allow. Used on the traffic thread.
class credit_lender
{
public:
    /// \param rows the store; must outlive this object.
    credit_lender(asio::any_io_executor executor, store &rows, const lender_view &view,
                  const quota_bound &bound);

    /// \brief Sets the configuration in force.
    void setRoutes(routing_config_ptr routes);
    /// \returns the answer to \p request, or nothing if there is none yet and the borrower has to
    /// retry.
    std::optional<quota_message> answer(const credit_request &request);
    void onReturn(const credit_return &message);
    /// \brief Acquires the rows that this daemon should hold, and renews those that it holds. Runs
    /// until the process ends.
    awaitable<void> maintain();
    /// \brief Releases all rows, until \p latest.
    awaitable<void> release(time_point latest);

private:
    struct shard_state
    {
        explicit shard_state(quota_shard_state b) : book(std::move(b)) { }
        quota_shard_state book;
        /// Last known version of the row in the store.
        store_version version = 0;
        /// The row as last read, if another daemon holds it.
        std::optional<quota_row> foreignRow;
        /// Since when another daemon is the preferred holder of a row that this daemon holds.
        std::optional<time_point> notPreferredSince;
        bool isWriting = false;
        time_point writtenAt;
        time_point lastAttemptAt;
    };

    shard_state &stateOf(std::size_t shard);
    /// \returns whether an account of \p shard has a quota.
    bool hasQuotas(std::size_t shard) const;
    /// \returns the live other daemon last known to hold the row of \p state, or an empty id.
    daemon_id holderOf(const shard_state &state) const;
    /// \brief Acquires, renews or hands over the row of \p shard if due.
    void maintainShard(std::size_t shard, time_point now);
    /// \brief Releases the row of \p shard, for its preferred holder to acquire.
    awaitable<void> handOver(std::size_t shard, time_point until);
    /// \brief Starts a write of the row of \p shard, unless one is in progress or was attempted
    /// very recently.
    void acquireOrRenew(std::size_t shard);
    awaitable<void> write(std::size_t shard);
    /// \brief Handles \p error of a write. \returns whether to retry immediately.
    bool onWriteFailed(std::size_t shard, shard_state &state, const store_error &error);
    /// \brief Handles a conflicting row in the store. \returns whether to retry immediately.
    bool onConflictingRow(std::size_t shard, shard_state &state, const stored_row &found);

    asio::any_io_executor m_executor;
    store &m_store;
    const lender_view &m_view;
    quota_bound m_bound;
    routing_config_ptr m_routes;
    /// Shards with accounts that have a quota.
    std::array<bool, quotaShardCount> m_hasQuotas{};
    std::map<std::size_t, shard_state> m_shards;
    unreadable_row_log m_unreadable;
    bool m_isReleased = false;
};

} // namespace azurehill
