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
    if (!state->isChanging) {
        updateAccount(*state, rows);
        settleEndedTurns(*state);
    }
    // Collects the chain from the wanted turn back to its start, then links it from the start.
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
    const time_point until = runtime_clock::now() + m_retention.longest();
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
    turn_lookup lookup;
    lookup.found = processProgramRows(program, page->rows, wanted);
    lookup.readVersion = page->version;
    co_return lookup;
}

awaitable<store_result<turn_ledger::turn_lookup>> turn_ledger::readByIndex(turn_id wanted,
                                                                           time_point deadline)
{
    const row_name name = turn_rows::index(wanted);
    row_range range{name.table, name.partition, name.key, name.key + '\0'};
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
    const auto indexRow = co_await readNewestRow(std::move(name), deadline);
    if (!indexRow)
        co_return tl::unexpected(indexRow.error());
    if (indexRow->version == 0)
        co_return std::nullopt;
    // An index row can exist without its turn, if the turn was never added. Then there is no such
    // turn.
    const program_id program{indexRow->value};
    name = turn_rows::firstChunk(program, wanted);
    const auto firstChunk = co_await readNewestRow(std::move(name), deadline);
    if (!firstChunk)
        co_return tl::unexpected(firstChunk.error());
    if (firstChunk->version == 0)
        co_return std::nullopt;
    co_return turn_location{program, firstChunk->version};
}

awaitable<tl::expected<turn_ptr, turn_refusal>>
turn_ledger::readUntilVisible(turn_location location, turn_id wanted, time_point deadline)
{
    duration retryDelay = minStoreRetryDelay;
    store_result<turn_lookup> lookup;
    while (runtime_clock::now() < deadline) {
        lookup = co_await readProgram(location.program, wanted, storeAttemptDeadline(deadline));
        if (lookup && lookup->found)
            co_return lookup->found;
        // A read of at least the turn's version is conclusive; an older one is not.
        if (lookup && lookup->readVersion >= location.version) {
            logTurnNotLoaded(location.program, wanted, load_failure::Chain, "");
            co_return tl::unexpected(turn_refusal::TurnUnreadable);
        }
        if (!lookup && !m_store.isReachable())
            break;
        co_await sleepFor(std::min(retryDelay, deadline - runtime_clock::now()));
        retryDelay = std::min(2 * retryDelay, maxStoreRetryDelay);
    }
    const std::string detail = lookup ? "" : lookup.error().detail;
    logTurnNotLoaded(location.program, wanted, lookup ? load_failure::Lag : load_failure::Read,
                     detail);
    co_return tl::unexpected(lookup ? turn_refusal::ReadsLag : turn_refusal::StoreUnavailable);
}

void turn_ledger::logTurnNotLoaded(const program_id &program, const turn_id &wanted,
                                   load_failure failure, const std::string &detail) const
{
    logDecision(log_event::TurnNotLoaded,
                {{"program", program.value},
                 {"turn", wanted.value},
                 {"step", std::string(toName(failure))},
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
    // A single lost response must not refuse the turn: the second attempt uses a new connection.
    constexpr int tries = 2;
    for (int i = 0; i < tries && runtime_clock::now() < deadline; ++i) {
        const time_point until = storeAttemptDeadline(deadline);
        auto found = co_await readProgram(program, previous, until);
        if (found && !found->found)
            found = co_await readByIndex(previous, until);
        // A turn of another account takes the same calls as an absent one, so that the response
        // time does not reveal its existence.
        const bool isForeign = found && found->found && !mayContinue(*found->found, asker);
        if (found && found->found && !isForeign)
            co_return found->found;
        failed = load_failure::Read;
        if (!found) {
            detail = found.error().detail;
        } else {
            // Reads may be stale; only a condition confirms that there is no such turn.
            const auto location = co_await locate(previous, until);
            if (location && (!*location || isForeign))
                co_return tl::unexpected(turn_refusal::NoSuchTurn);
            if (location) {
                auto lateTurn = co_await readUntilVisible(**location, previous, deadline);
                if (lateTurn && !mayContinue(**lateTurn, asker))
                    co_return tl::unexpected(turn_refusal::NoSuchTurn);
                co_return lateTurn;
            }
            failed = load_failure::Confirm;
            detail = location.error().detail;
        }
        if (!m_store.isReachable())
            break;
    }
    logTurnNotLoaded(program, previous, failed, detail);
    co_return tl::unexpected(turn_refusal::StoreUnavailable);
}

} // namespace azurehill
