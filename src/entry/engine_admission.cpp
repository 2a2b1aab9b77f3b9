#include "entry/engine_admission.h"

#include "core/log_event.h"

#include <boost/asio/redirect_error.hpp>

#include <utility>

namespace azurehill {

namespace {

/// Fraction of its remaining time for which a request may wait for admission. After a longer wait
/// the answer could no longer arrive in time, and the client does better to retry.
constexpr double admissionWaitShare = 0.4;

duration admissionTimeout(duration left)
{
    return std::chrono::duration_cast<duration>(admissionWaitShare * left);
}

admission_request admissionTicketOf(const entry_call &call, const program_timing &times)
{
    admission_request ticket;
    ticket.rank = call.rank.order;
    ticket.continues = call.isLaterTurn;
    ticket.slack = call.request.programTimeLeft.value_or(duration::max());
    if (ticket.slack > duration::zero())
        return ticket;
    ticket.slack = times.timeLeft.value_or(duration::zero());
    // An answer within twice the program's time still has some value.
    const bool isInfeasible = times.timeLeft && times.timeBudget
        && *times.timeLeft + *times.timeBudget < duration::zero();
    ticket.feasibility = isInfeasible ? deadline_feasibility::Lost : deadline_feasibility::Late;
    return ticket;
}

void logAdmission(const entry_call &call, const admission_request &ticket,
                  const concurrency_limiter &serviceLimiter, bool granted, duration waited)
{
    logDecision(granted ? log_event::RequestAdmitted : log_event::RequestNotAdmitted,
                {{"request", call.request.id},
                 {"program", call.request.program.value},
                 {"previous", call.request.previousTurn.value},
                 {"rank", std::int64_t(ticket.rank)},
                 {"hope", std::string(toName(ticket.feasibility))},
                 {"left_ms", toMilliseconds(call.deadline - runtime_clock::now())},
                 {"waiting", std::int64_t(serviceLimiter.queued())},
                 {"inside", std::int64_t(serviceLimiter.inFlight())},
                 {"limit", serviceLimiter.limit()},
                 {"replicas", std::int64_t(serviceLimiter.engineCapacity().replicas)},
                 {"part", serviceLimiter.limitShare()},
                 {"inflation", serviceLimiter.inflation()},
                 {"waited_ms", toMilliseconds(waited)}});
}

/// \returns what each report of \p reports says of \p service, and an empty entry for those that
/// say nothing.
std::vector<concurrency_report> reportsOf(const std::vector<concurrency_reports> &reports,
                                          const std::string &service)
{
    std::vector<concurrency_report> serviceReports;
    serviceReports.reserve(reports.size());
    for (const concurrency_reports &report : reports) {
        const auto found = report.find(service);
        serviceReports.push_back(found == report.end() ? concurrency_report() : found->second);
    }
    return serviceReports;
}

} // namespace

engine_admission::engine_admission(asio::any_io_executor executor, const mechanism_set &mechanisms,
                                   entry_metrics &metrics)
    : m_executor(std::move(executor)), m_mechanisms(mechanisms), m_metrics(metrics)
{ }

void engine_admission::addService(const std::string &service)
{
    if (m_mechanisms.has(mechanism::EngineAdmission))
        m_serviceLimiters.try_emplace(service, m_mechanisms);
}

void engine_admission::update(const replica_load_balancer &loadBalancer, time_point now)
{
    for (auto &[name, serviceLimiter] : m_serviceLimiters) {
        serviceLimiter.setEngineCapacity(
            {loadBalancer.availableReplicas(name, now), loadBalancer.availableSlots(name, now)});
        grant(serviceLimiter);
    }
}

concurrency_reports engine_admission::makeReports()
{
    concurrency_reports reports;
    for (auto &[name, serviceLimiter] : m_serviceLimiters) {
        const concurrency_report report = serviceLimiter.publishReport();
        // Services without demand at this daemon are left out to keep the message small.
        if (report.demand > 0)
            reports.emplace(name, report);
    }
    return reports;
}

void engine_admission::mergeReports(const std::vector<concurrency_reports> &reports,
                                    std::size_t otherDaemons)
{
    for (auto &[name, serviceLimiter] : m_serviceLimiters) {
        const std::vector<concurrency_report> serviceReports = reportsOf(reports, name);
        serviceLimiter.mergeReports({serviceReports, otherDaemons});
    }
}

void engine_admission::grant(concurrency_limiter &serviceLimiter)
{
    for (const std::uint64_t number : serviceLimiter.admitQueued()) {
        const auto found = m_waiting.find(number);
        if (found == m_waiting.end())
            continue;
        found->second->granted = true;
        found->second->waitTimer.cancel();
    }
}

awaitable<bool> engine_admission::admit(entry_call_ptr call, program_timing times)
{
    const auto found = m_serviceLimiters.find(call->service);
    if (found == m_serviceLimiters.end())
        co_return true;
    concurrency_limiter &serviceLimiter = found->second;
    admission_request ticket = admissionTicketOf(*call, times);
    ticket.number = ++m_lastTicket;
    if (serviceLimiter.tryAdmit(ticket)) {
        call->holdsEngineSlot = true;
        co_return true;
    }
    auto wait = std::make_shared<queued_request>(m_executor);
    m_waiting[ticket.number] = wait;
    call->admissionTimer = &wait->waitTimer;
    const time_point began = runtime_clock::now();
    wait->waitTimer.expires_at(began + admissionTimeout(call->deadline - began));
    boost::system::error_code code;
    co_await wait->waitTimer.async_wait(asio::redirect_error(use_awaitable, code));
    call->admissionTimer = nullptr;
    m_waiting.erase(ticket.number);
    serviceLimiter.cancelWait(ticket.number);
    call->holdsEngineSlot = wait->granted;
    const duration waited = runtime_clock::now() - began;
    logAdmission(*call, ticket, serviceLimiter, wait->granted, waited);
    m_metrics.onPhase(call->route->name, request_phase::Admission, waited);
    if (!call->isWanted())
        release(*call);
    co_return wait->granted && call->isWanted();
}

void engine_admission::countAdmitted(entry_call &call)
{
    const auto serviceLimiter = m_serviceLimiters.find(call.service);
    if (serviceLimiter == m_serviceLimiters.end() || std::exchange(call.holdsEngineSlot, true))
        return;
    serviceLimiter->second.countAdmitted();
}

void engine_admission::release(entry_call &call)
{
    const auto serviceLimiter = m_serviceLimiters.find(call.service);
    if (!std::exchange(call.holdsEngineSlot, false) || serviceLimiter == m_serviceLimiters.end())
        return;
    serviceLimiter->second.release();
    grant(serviceLimiter->second);
}

void engine_admission::onEventInterval(const std::string &service, double msPerEvent,
                                       time_point now)
{
    if (const auto serviceLimiter = m_serviceLimiters.find(service);
        serviceLimiter != m_serviceLimiters.end())
        serviceLimiter->second.onEventInterval(msPerEvent, now);
}

} // namespace azurehill
