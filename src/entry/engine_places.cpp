#include "entry/engine_places.h"

#include "core/log_event.h"

#include <boost/asio/redirect_error.hpp>

#include <utility>

namespace azurehill {

namespace {

/// Share of its time that a request may wait for a place; beyond it, the answer could no longer
/// come in time, and the client does better to ask again.
constexpr double gatePatience = 0.4;

duration gateShare(duration left)
{
    return std::chrono::duration_cast<duration>(gatePatience * left);
}

admission_request ticketOf(const entry_call &call, const program_timing &times)
{
    admission_request ticket;
    ticket.rank = call.rank.order;
    ticket.continues = call.isLaterTurn;
    ticket.slack = call.request.programFinish.value_or(duration::max());
    if (ticket.slack > duration::zero())
        return ticket;
    ticket.slack = times.left.value_or(duration::zero());
    // An answer within twice the program's time still earns something.
    const bool isLost = times.left && times.aim && *times.left + *times.aim < duration::zero();
    ticket.hope = isLost ? deadline_feasibility::Lost : deadline_feasibility::Late;
    return ticket;
}

void logPlace(const entry_call &call, const admission_request &ticket,
              const concurrency_limiter &gate, bool granted, duration waited)
{
    logDecision(granted ? log_event::PlaceGranted : log_event::PlaceNotGranted,
                {{"request", call.request.id},
                 {"program", call.request.program.value},
                 {"previous", call.request.previousTurn.value},
                 {"rank", std::int64_t(ticket.rank)},
                 {"hope", std::string(toName(ticket.hope))},
                 {"left_ms", toMilliseconds(call.deadline - runtime_clock::now())},
                 {"waiting", std::int64_t(gate.waiting())},
                 {"inside", std::int64_t(gate.inside())},
                 {"limit", gate.limit()},
                 {"replicas", std::int64_t(gate.engines().replicas)},
                 {"part", gate.part()},
                 {"inflation", gate.inflation()},
                 {"waited_ms", toMilliseconds(waited)}});
}

/// \returns what each daemon of \p others tells of \p service.
std::vector<concurrency_report> wordsOf(const std::vector<concurrency_reports> &others,
                                        const std::string &service)
{
    std::vector<concurrency_report> words;
    words.reserve(others.size());
    for (const concurrency_reports &one : others) {
        const auto found = one.find(service);
        words.push_back(found == one.end() ? concurrency_report() : found->second);
    }
    return words;
}

} // namespace

engine_places::engine_places(asio::any_io_executor executor, const mechanism_set &mechanisms,
                             entry_metrics &metrics)
    : m_executor(std::move(executor)), m_mechanisms(mechanisms), m_metrics(metrics)
{ }

void engine_places::addService(const std::string &service)
{
    if (m_mechanisms.has(mechanism::EngineGate))
        m_gates.try_emplace(service, m_mechanisms);
}

void engine_places::update(const replica_load_balancer &board, time_point now)
{
    for (auto &[name, gate] : m_gates) {
        gate.setEngineCapacity({board.open(name, now), board.availableSlots(name, now)});
        grant(gate);
    }
}

concurrency_reports engine_places::tell()
{
    concurrency_reports all;
    for (auto &[name, gate] : m_gates) {
        const concurrency_report word = gate.tell();
        // A service that nobody uses here takes no room in the message.
        if (word.wanted > 0)
            all.emplace(name, word);
    }
    return all;
}

void engine_places::hear(const std::vector<concurrency_reports> &heard, std::size_t others)
{
    for (auto &[name, gate] : m_gates) {
        const std::vector<concurrency_report> words = wordsOf(heard, name);
        gate.hear({words, others});
    }
}

void engine_places::grant(concurrency_limiter &gate)
{
    for (const std::uint64_t number : gate.take()) {
        const auto found = m_waiting.find(number);
        if (found == m_waiting.end())
            continue;
        found->second->granted = true;
        found->second->alarm.cancel();
    }
}

awaitable<bool> engine_places::enter(entry_call_ptr call, program_timing times)
{
    const auto found = m_gates.find(call->service);
    if (found == m_gates.end())
        co_return true;
    concurrency_limiter &gate = found->second;
    admission_request ticket = ticketOf(*call, times);
    ticket.number = ++m_lastTicket;
    if (gate.enter(ticket)) {
        call->isInsideGate = true;
        co_return true;
    }
    auto wait = std::make_shared<waiting_call>(m_executor);
    m_waiting[ticket.number] = wait;
    call->gateAlarm = &wait->alarm;
    const time_point began = runtime_clock::now();
    wait->alarm.expires_at(began + gateShare(call->deadline - began));
    boost::system::error_code code;
    co_await wait->alarm.async_wait(asio::redirect_error(use_awaitable, code));
    call->gateAlarm = nullptr;
    m_waiting.erase(ticket.number);
    gate.withdraw(ticket.number);
    call->isInsideGate = wait->granted;
    const duration waited = runtime_clock::now() - began;
    logPlace(*call, ticket, gate, wait->granted, waited);
    m_metrics.onPhase(call->route->name, request_phase::Place, waited);
    if (call->clientLeft())
        leave(*call);
    co_return wait->granted && !call->clientLeft();
}

void engine_places::leave(entry_call &call)
{
    const auto gate = m_gates.find(call.service);
    if (!std::exchange(call.isInsideGate, false) || gate == m_gates.end())
        return;
    gate->second.leave();
    grant(gate->second);
}

void engine_places::onPace(const std::string &service, double msPerEvent, time_point now)
{
    if (const auto gate = m_gates.find(service); gate != m_gates.end())
        gate->second.onPace(msPerEvent, now);
}

} // namespace azurehill
