#pragma once

#include "accounts/account_config.h"
#include "core/core.h"
#include "replicas/replica_load_balancer.h"

#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace azurehill {

/// \brief Identifies one request for an engine slot over all daemons.
struct slot_ticket
{
    daemon_id daemon;
    std::int64_t incarnation = 0;
    std::uint64_t number = 0;

    friend auto operator<=>(const slot_ticket &, const slot_ticket &) = default;
};

/// \brief Requests an engine slot for one turn from the dispatcher of the program's group.
struct slot_request
{
    slot_ticket ticket;
    std::string service;
    std::string route;
    /// Empty if the request belongs to no account.
    account_id account;
    /// Weight by which accounts of one rank share the slots: the account's quota, or 1.
    double accountWeight = 1;
    program_id program;
    /// Id of the session within the program, or empty.
    std::string session;
    /// Id of the client's request, for the log.
    std::string requestId;
    /// Rank of account and route, 0 first.
    int rank = 0;
    /// Time left until the program should be finished; zero once that time has passed, nothing if
    /// the client did not state it.
    std::optional<duration> timeToFinish;
    /// Time until the client's request times out.
    duration timeLeft = duration::zero();
    /// Tokens of the whole prompt.
    std::int64_t promptTokens = 0;
    /// Token budget of the program, or nothing if it has none.
    std::optional<std::int64_t> budgetTokens;
    /// Maximum number of tokens that the turn generates.
    std::int64_t maxOutputTokens = 0;
    /// Retention time of the program's token account.
    duration retention = duration::zero();
};

/// \brief The request \c number is queued.
struct slot_queued
{
    std::uint64_t number = 0;
};

/// \brief Grants a slot of \c replica to the request \c number. The dispatcher holds the turn's
/// tokens.
struct slot_grant
{
    std::uint64_t number = 0;
    replica_incarnation replica;
    /// Prompt tokens that the replica is expected to have cached.
    std::int64_t cachedTokens = 0;
};

enum class slot_refusal_reason {
    /// The engines have no capacity for another program at present.
    EnginesBusy,
    /// The program can't end while its result is still of use.
    CannotFinish,
    /// The token budget of the program is spent.
    BudgetSpent,
    /// The tokens of the turn could not be held durably.
    TokensNotHeld,
    /// The receiver does not dispatch the program's group.
    NotDispatcher,
};

template <>
struct enum_names<slot_refusal_reason>
{
    static constexpr std::array<std::string_view, 5> names
        = {"engines_busy", "cannot_finish", "budget_spent", "tokens_not_held", "not_dispatcher"};
};

/// \brief Refuses the request \c number: the turn did not run, and its ticket is void.
struct slot_refusal
{
    std::uint64_t number = 0;
    slot_refusal_reason reason = slot_refusal_reason::EnginesBusy;
    /// When the client should retry.
    duration retryAfter = duration::zero();
};

/// \brief Reports that the turn of a ticket has ended, or that the ticket is no longer wanted.
struct slot_release
{
    slot_ticket ticket;
    std::string service;
    program_id program;
    std::string requestId;
    send_outcome outcome = send_outcome::Answered;
    /// Output tokens that may have reached the client.
    std::int64_t usedTokens = 0;
    /// Mean time between the events of the answer in milliseconds; 0 if unknown.
    double msPerEvent = 0;
};

/// \brief A ticket that its daemon still uses or waits for.
struct active_ticket
{
    std::uint64_t number = 0;
    program_id program;
    std::string session;
    /// The replica that the turn runs at; empty while it is queued.
    replica_incarnation replica;
    std::int64_t maxOutputTokens = 0;
};

/// \brief Lists all tickets of a daemon at the receiver's group whose numbers are in a range. A
/// daemon with many tickets sends several, since a datagram has a limited size.
struct slot_renewal
{
    daemon_id daemon;
    std::int64_t incarnation = 0;
    std::string service;
    std::uint32_t group = 0;
    std::vector<active_ticket> tickets;
    std::uint64_t firstNumber = 0;
    std::uint64_t lastNumber = std::numeric_limits<std::uint64_t>::max();
};

/// \brief Answers a renewal of the group of \c service.
struct slot_renewed
{
    std::string service;
    std::uint32_t group = 0;
};

/// \brief Datagram between a daemon that serves a turn and the dispatcher of its program's group.
using slot_message = std::variant<slot_request, slot_queued, slot_grant, slot_refusal, slot_release,
                                  slot_renewal, slot_renewed>;

/// \returns \p message encoded as the payload of a datagram.
std::string encodeSlotMessage(const slot_message &message);
/// \returns the message decoded from \p text, or nothing if it is malformed.
std::optional<slot_message> decodeSlotMessage(std::string_view text);

} // namespace azurehill
