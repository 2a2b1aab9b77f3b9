#pragma once

#include "core/enum_names.h"
#include "core/ids.h"
#include "core/outcome.h"

#include <boost/json/value.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace azurehill {

/// \brief The kind of target of a program's call.
enum class call_kind { Model, Tool, Service };

template <>
struct enum_names<call_kind>
{
    static constexpr std::array<std::string_view, 3> names = {"model", "tool", "service"};
};

/// \brief Why a program ended.
enum class end_reason { Finished, Expired, BudgetExhausted, DeadlinePassed, TooManyTurns };

template <>
struct enum_names<end_reason>
{
    static constexpr std::array<std::string_view, 5> names
        = {"finished", "expired", "budget_exhausted", "deadline_passed", "too_many_turns"};
};

struct program_created
{
    program_id program;
    program_id parent;
    tenant_id tenant;
    std::string programClass;
    std::int64_t budgetTokens = 0;
    std::int64_t deadlineUnixMs = 0;
    std::int64_t createdUnixMs = 0;
    /// Limits of the program's class at the time of creation; 0 means no limit. Later changes of
    /// the class do not affect them, so replay gives the same state under any configuration.
    std::int64_t maxTurns = 0;
    std::int64_t idleMs = 0;
};

/// \brief A call is about to be sent. Records its token reservation and, for a non-idempotent call,
/// the intent to send it.
struct call_begun
{
    program_id program;
    std::int64_t turn = 0;
    /// The caller's idempotency key.
    std::string key;
    call_kind kind = call_kind::Model;
    bool idempotent = true;
    std::int64_t reservedTokens = 0;
    /// Engine that the call is sent to, which may hold the program's cache from then on. Empty if
    /// the call is not sent to an engine.
    upstream_id engine = {};
};

/// \brief A call has been answered.
struct call_finished
{
    program_id program;
    std::int64_t turn = 0;
    std::string key;
    std::int64_t spentTokens = 0;
    int status = 200;
    /// Messages that this turn adds to the history, as the text of a JSON array; empty for tools.
    std::string messages;
    /// Body of the response, stored to answer a repeated request.
    std::string reply;
    std::string contentType = "application/json";
    /// Engine that answered, if it is not the one in the call_begun record.
    upstream_id engine = {};
};

/// \brief A call ended without an answer. Calls with the outcome Ran or Unknown are charged in
/// full.
///
/// Afterwards a model call or another idempotent call may be repeated under the same turn; any
/// other call is closed permanently.
struct call_failed
{
    program_id program;
    std::int64_t turn = 0;
    std::string key;
    outcome ran = outcome::Unknown;
    std::int64_t spentTokens = 0;
};

struct program_ended
{
    program_id program;
    end_reason reason = end_reason::Finished;
};

/// \brief An engine has confirmed that it holds no state of an ended program.
struct program_released
{
    program_id program;
    upstream_id engine;
};

using journal_record = std::variant<program_created, call_begun, call_finished, call_failed,
                                    program_ended, program_released>;

/// \returns the program that \p record belongs to.
const program_id &programOf(const journal_record &record);

boost::json::value toJson(const journal_record &record);
/// \returns the record decoded from \p value, or a description of the decoding error.
tl::expected<journal_record, std::string> recordFromJson(const boost::json::value &value);

} // namespace azurehill
