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

/// \brief What a call of a program goes to.
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
    /// Limits of the class when the program began; 0 is none. A change of the class later changes
    /// neither, so replaying gives the same state under any configuration.
    std::int64_t maxTurns = 0;
    std::int64_t idleMs = 0;
};

/// \brief A call is about to go out: its reservation, and for a non-idempotent one the intent.
struct call_begun
{
    program_id program;
    std::int64_t turn = 0;
    /// The caller's idempotency key.
    std::string key;
    call_kind kind = call_kind::Model;
    bool idempotent = true;
    std::int64_t reservedTokens = 0;
};

/// \brief A call has its answer.
struct call_finished
{
    program_id program;
    std::int64_t turn = 0;
    std::string key;
    std::int64_t spentTokens = 0;
    int status = 200;
    /// Messages that this turn adds to the history, a JSON array as text; empty for tools.
    std::string messages;
    /// The answer's body, kept for a repeated request.
    std::string reply;
    std::string contentType = "application/json";
};

/// \brief A call ended without an answer. Ran and Unknown are charged in full.
///
/// After these a model call or another idempotent one may be asked again under its turn; any other
/// call is closed for good.
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

using journal_record
    = std::variant<program_created, call_begun, call_finished, call_failed, program_ended>;

/// \returns the program that \p record is about.
const program_id &programOf(const journal_record &record);

boost::json::value toJson(const journal_record &record);
/// \returns the record in \p value, or what is wrong with it.
tl::expected<journal_record, std::string> recordFromJson(const boost::json::value &value);

} // namespace azurehill
