#pragma once

#include "lending/lender_view.h"
#include "routes/routes.h"
#include "rows/unreadable_row_log.h"
#include "store/store.h"

#include <array>
#include <optional>

namespace azurehill {

/// \brief Holds rows of quotas in the store and lends the credits that they allow. Used on the
/// traffic thread.
class credit_lender
{
public:
    /// \param rows the store; it outlives this object.
    credit_lender(asio::any_io_executor executor, store &rows, const lender_view &view,
                  const quota_bound &bound);

    /// \brief Takes in the configuration in force.
    void setRoutes(routing_config_ptr routes);
    /// \returns the answer to \p request; nothing while it can't be told, and the asker has to ask
    /// again.
    std::optional<quota_message> answer(const credit_request &request);
    void onReturn(const credit_return &message);
    /// \brief Takes the rows that this daemon should hold, and renews those that it holds. Runs
    /// until the program ends.
    awaitable<void> maintain();
    /// \brief Gives up all rows, by \p latest at the latest.
    awaitable<void> release(time_point latest);

private:
    struct shard_state
    {
        explicit shard_state(quota_book b) : book(std::move(b)) { }
        quota_book book;
        /// Version of the row as this daemon knows it.
        store_version version = 0;
        /// The row as another daemon left it, if this one has seen it so last.
        std::optional<quota_row> others;
        /// Since when another daemon should hold the row that this one holds.
        std::optional<time_point> notPreferredSince;
        bool isWriting = false;
        time_point writtenAt;
        time_point lastAttemptAt;
    };

    shard_state &stateOf(std::size_t shard);
    /// \returns whether the configuration limits an account of \p shard.
    bool hasQuotas(std::size_t shard) const;
    /// \returns the daemon that holds the row of \p state as far as this one knows, or an empty id.
    daemon_id holderOf(const shard_state &state) const;
    /// \brief Takes, renews or hands on the row of \p shard if it is time.
    void maintainShard(std::size_t shard, time_point now);
    /// \brief Gives the row of \p shard up for the daemon that should hold it.
    awaitable<void> handOver(std::size_t shard, time_point until);
    /// \brief Has the row of \p shard written, unless that is under way or was tried just now.
    void acquireOrRenew(std::size_t shard);
    awaitable<void> write(std::size_t shard);
    /// \brief Takes in \p error of a write. \returns whether to write again at once.
    bool onFailed(std::size_t shard, shard_state &state, const store_error &error);
    /// \brief Takes in the row as the store has it. \returns whether to write again at once.
    bool onConflictingRow(std::size_t shard, shard_state &state, const stored_row &found);

    asio::any_io_executor m_executor;
    store &m_store;
    const lender_view &m_view;
    quota_bound m_bound;
    routing_config_ptr m_routes;
    /// Shards with accounts that have a quota.
    std::array<bool, quotaShards> m_used{};
    std::map<std::size_t, shard_state> m_shards;
    unreadable_row_log m_unreadable;
    bool m_isReleased = false;
};

} // namespace azurehill
