#pragma once

#include "core/runtime_clock.h"
#include "journal/record.h"
#include "program/program.h"
#include "program/refusal.h"

#include <tl/expected.hpp>

#include <unordered_map>
#include <variant>
#include <vector>

namespace azurehill {

/// \brief A caller's request for the next call of a program.
struct call_request
{
    program_id program;
    std::int64_t turn = 0;
    std::string key;
    call_kind kind = call_kind::Model;
    bool idempotent = true;
    /// Upper bound on the tokens of the call, without the preceding history.
    std::int64_t reserveTokens = 0;
};

/// \brief The call may begin as soon as its record is durable.
struct begin_call
{
    call_begun record;
};
/// \brief The same call is in progress: follow its response.
struct attach_to_call
{
    open_call call;
};
/// \brief The call has already ended: return its stored response.
struct replay_answer
{
    closed_call call;
};
/// \brief The preceding call is still in progress: decide again once it has ended.
struct wait_for_previous_turn
{ };

using call_decision
    = std::variant<begin_call, attach_to_call, replay_answer, wait_for_previous_turn>;

/// \brief Registry of the programs that this daemon owns, built by replaying their journal records.
///
/// decide() checks requests and returns the journal records to write. Only apply() changes the
/// state, so replaying the same records gives the same state on any daemon. A sub-agent spends from
/// its own budget and from the budgets of all its ancestors, and ends when any of them ends.
class program_registry
{
public:
    /// \brief Decides how to handle \p request at wall-clock time \p nowUnixMs.
    tl::expected<call_decision, refusal> decide(const call_request &request,
                                                std::int64_t nowUnixMs) const;

    /// \returns success, or why \p created can't be created at wall-clock time \p nowUnixMs.
    tl::expected<void, refusal> checkCreation(const program_created &created,
                                              std::int64_t nowUnixMs) const;

    /// \brief Applies \p record to the state. Records of unknown programs and ends of calls that
    /// are not open have no effect.
    void apply(const journal_record &record);

    const program *find(const program_id &id) const;
    const std::unordered_map<program_id, program> &programs() const { return m_programs; }
    /// \brief Removes one program, as if its creation had not been applied.
    void erase(const program_id &id);
    /// \brief Removes the family of \p id (its root program and all descendants), because it is no
    /// longer owned or has to be reloaded.
    void eraseFamily(const program_id &id);

    /// \returns the tokens that \p id may still reserve within its own budget and those of its
    /// ancestors.
    std::int64_t freeTokens(const program_id &id) const;

private:
    void applyTo(program &p, const call_begun &r);
    void applyTo(program &p, const call_finished &r);
    void applyTo(program &p, const call_failed &r);
    void applyTo(program &p, const program_ended &r);
    void applyTo(program &p, const program_released &r);
    void create(const program_created &r);
    void settle(program &p, std::int64_t spent);
    void addReserved(const program_id &from, std::int64_t tokens);
    void addSpent(const program_id &from, std::int64_t tokens);
    void end(program &p, end_reason reason);
    std::optional<refusal> refusalIfEnded(const program &p, std::int64_t nowUnixMs) const;

    std::unordered_map<program_id, program> m_programs;
};

} // namespace azurehill
