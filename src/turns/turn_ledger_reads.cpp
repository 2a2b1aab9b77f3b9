#include "core/log_event.h"
#include "turns/store_calls.h"
#include "turns/turn_ledger.h"
#include "turns/turn_rows.h"

namespace azurehill {

turn_ptr turn_ledger::processProgramRows(const program_id &program,
                                         const std::vector<stored_row> &rows, const turn_id &wanted)
{
    const account_ptr state = accountOf(program);
    std::map<turn_id, decoded_turn> turns = turn_rows::readTurns(rows);
    recordEndedTurns(*state, turns);
    if (!state->busy) {
        updateAccount(*state, rows);
        settleEndedTurns(*state);
    }
    // The chain from the wanted turn back to its start, then built from the start on.
    std::vector<decoded_turn *> chain;
    turn_ptr last;
    for (turn_id id = wanted; !id.empty();) {
        const auto found = turns.find(id);
        if (found == turns.end()) {
            last = m_cache.find(id);
            if (!last)
                return nullptr;
            break;
        }
        chain.push_back(&found->second);
        id = found->second.previous;
    }
    const time_point until = runtime_clock::now() + m_retention;
    for (auto it = chain.rbegin(); it != chain.rend(); ++it) {
        auto t = std::make_shared<turn>(std::move((*it)->value));
        t->program = program;
        t->previous = last;
        last = t;
        m_cache.insert(last, until);
    }
    return last;
}

awaitable<store_result<turn_ledger::turn_lookup>>
turn_ledger::readProgram(program_id program, turn_id wanted, time_point deadline)
{
    row_range range = turn_rows::programRange(program);
    const auto page = co_await m_store.read(std::move(range), deadline);
    if (!page)
        co_return tl::unexpected(page.error());
    turn_lookup view;
    view.found = processProgramRows(program, page->rows, wanted);
    view.readAt = page->version;
    co_return view;
}

awaitable<store_result<turn_ledger::turn_lookup>> turn_ledger::readByIndex(turn_id wanted,
                                                                           time_point deadline)
{
    const row_name name = turn_rows::index(wanted);
    row_range range{name.table, name.part, name.key, name.key + '\0'};
    const auto page = co_await m_store.read(std::move(range), deadline);
    if (!page)
        co_return tl::unexpected(page.error());
    const stored_row *row = findRow(page->rows, name);
    if (!row)
        co_return turn_lookup();
    program_id program{row->value};
    co_return co_await readProgram(std::move(program), wanted, deadline);
}

awaitable<store_result<stored_row>> turn_ledger::readNewestRow(row_name name, time_point deadline)
{
    store_transaction t;
    t.urgency = write_urgency::Begin;
    t.conditions.push_back({name, 0});
    const auto absent = co_await m_store.transact(std::move(t), deadline);
    if (absent)
        co_return stored_row();
    const stored_row *row = findRow(absent.error().current, name);
    if (absent.error().kind == store_error_kind::Conflict && row)
        co_return *row;
    store_error error = absent.error();
    error.kind = store_error_kind::Unknown;
    co_return tl::unexpected(std::move(error));
}

awaitable<store_result<std::optional<turn_ledger::turn_location>>>
turn_ledger::locate(turn_id wanted, time_point deadline)
{
    row_name name = turn_rows::index(wanted);
    const auto entry = co_await readNewestRow(std::move(name), deadline);
    if (!entry)
        co_return tl::unexpected(entry.error());
    if (entry->version == 0)
        co_return std::nullopt;
    // An entry outlives its turn when another daemon added the turn than the one that removes the
    // program, or the turn was never added: then there is no such turn.
    const program_id program{entry->value};
    name = turn_rows::firstChunk(program, wanted);
    const auto piece = co_await readNewestRow(std::move(name), deadline);
    if (!piece)
        co_return tl::unexpected(piece.error());
    if (piece->version == 0)
        co_return std::nullopt;
    co_return turn_location{program, piece->version};
}

awaitable<tl::expected<turn_ptr, turn_refusal>>
turn_ledger::readUntilVisible(turn_location place, turn_id wanted, time_point deadline)
{
    duration pause = minStoreRetryDelay;
    store_result<turn_lookup> view;
    while (runtime_clock::now() < deadline) {
        view = co_await readProgram(place.program, wanted, storeAttemptDeadline(deadline));
        if (view && view->found)
            co_return view->found;
        // What was read after the turn was added shows it as it is; what is older says nothing.
        if (view && view->readAt >= place.version) {
            logTurnNotLoaded(place.program, wanted, load_failure::Chain, "");
            co_return tl::unexpected(turn_refusal::TurnUnreadable);
        }
        if (!view && !m_store.isReachable())
            break;
        co_await sleepFor(std::min(pause, deadline - runtime_clock::now()));
        pause = std::min(2 * pause, maxStoreRetryDelay);
    }
    const std::string detail = view ? "" : view.error().detail;
    logTurnNotLoaded(place.program, wanted, view ? load_failure::Lag : load_failure::Read, detail);
    co_return tl::unexpected(view ? turn_refusal::ReadsLag : turn_refusal::StoreUnavailable);
}

void turn_ledger::logTurnNotLoaded(const program_id &program, const turn_id &wanted,
                                   load_failure step, const std::string &detail) const
{
    logDecision(log_event::TurnNotLoaded,
                {{"program", program.value},
                 {"turn", wanted.value},
                 {"step", std::string(toName(step))},
                 {"detail", detail},
                 {"reachable", m_store.isReachable()}});
}

awaitable<tl::expected<turn_ptr, turn_refusal>>
turn_ledger::load(account_id asker, program_id program, turn_id previous, time_point deadline)
{
    const turn_ptr known = m_cache.find(previous);
    if (known && mayContinue(*known, asker))
        co_return known;
    if (!m_store.isReachable()) {
        logTurnNotLoaded(program, previous, load_failure::Unreachable, "");
        co_return tl::unexpected(turn_refusal::StoreUnavailable);
    }
    load_failure failed = load_failure::Read;
    std::string detail;
    // One lost answer must not refuse the turn: the second try takes a new connection.
    constexpr int tries = 2;
    for (int i = 0; i < tries && runtime_clock::now() < deadline; ++i) {
        const time_point until = storeAttemptDeadline(deadline);
        auto found = co_await readProgram(program, previous, until);
        if (found && !found->found)
            found = co_await readByIndex(previous, until);
        // Another account's turn takes the same calls as one that is not there, so that the time of
        // the answer does not tell them apart.
        const bool isForeign = found && found->found && !mayContinue(*found->found, asker);
        if (found && found->found && !isForeign)
            co_return found->found;
        failed = load_failure::Read;
        if (!found) {
            detail = found.error().detail;
        } else {
            // A read may lag behind; only a condition says for certain that there is no such turn.
            const auto place = co_await locate(previous, until);
            if (place && (!*place || isForeign))
                co_return tl::unexpected(turn_refusal::NoSuchTurn);
            if (place) {
                auto late = co_await readUntilVisible(**place, previous, deadline);
                if (late && !mayContinue(**late, asker))
                    co_return tl::unexpected(turn_refusal::NoSuchTurn);
                co_return late;
            }
            failed = load_failure::Confirm;
            detail = place.error().detail;
        }
        if (!m_store.isReachable())
            break;
    }
    logTurnNotLoaded(program, previous, failed, detail);
    co_return tl::unexpected(turn_refusal::StoreUnavailable);
}

} // namespace azurehill
