#include "core/log.h"
#include "daemon/control.h"
#include "http/http_client.h"

#include <boost/json.hpp>

namespace azurehill {

namespace json = boost::json;

namespace {

constexpr duration releasePeriod = seconds(1);
constexpr duration orderLimit = seconds(1);

std::string releaseBody(const program_id &program, fencing_number fence)
{
    return json::serialize(json::object{{"program", program.value}, {"fence", fence}});
}

std::vector<program_id> heldIn(const std::string &body)
{
    std::vector<program_id> held;
    try {
        const json::value report = json::parse(body);
        for (const json::value &entry : report.at("programs").as_array())
            held.push_back({std::string(entry.at("program").as_string())});
    } catch (const std::exception &e) {
        logEvent(log_level::Warning, "held_unreadable", {{"detail", e.what()}});
        held.clear();
    }
    return held;
}

} // namespace

bool control::isEngine(const std::string &name) const
{
    const auto it = m_config->services.find(name);
    return it != m_config->services.end() && it->second.kind == service_kind::Engine;
}

awaitable<void> control::releaseLoop()
{
    std::size_t round = 0;
    while (true) {
        co_await sleepFor(releasePeriod);
        if (!m_config || !isReady())
            continue;
        co_await endOverdue();
        co_await sendReleases();
        co_await reconcileEngine(round++);
    }
}

awaitable<void> control::endOverdue()
{
    const auto due = m_reaper.findDue(m_book, runtime_clock::now(), unixMilliseconds());
    for (const program_ended &end : due) {
        // Another commit was waited for in between: the program may have begun a call.
        const program *p = m_book.find(end.program);
        if (p && !p->openCall)
            co_await endProgram(end.program, end.reason);
    }
}

awaitable<void> control::sendReleases()
{
    std::map<upstream_id, endpoint> engines;
    std::set<upstream_id> listed;
    for (const replica &r : replicas()) {
        const auto address = parseEndpoint(r.address);
        if (!isEngine(r.service) || !address)
            continue;
        engines[r.id] = *address;
        listed.insert(r.id);
    }
    m_releases.onListedEngines(listed, runtime_clock::now());
    for (const release_order &order : m_releases.ordersForLostEngines(m_book, runtime_clock::now()))
        confirmRelease(order);
    const auto orders = m_releases.poll(m_book, runtime_clock::now());
    for (const release_order &order : orders) {
        bool confirmed = false;
        if (const auto it = engines.find(order.engine); it != engines.end())
            confirmed = co_await sendRelease(order, it->second);
        m_releases.onResponse(order, confirmed, runtime_clock::now());
        if (confirmed)
            confirmRelease(order);
    }
}

awaitable<bool> control::sendRelease(release_order order, endpoint engine)
{
    // The program may have moved, or the lease lapsed, since the order was decided.
    if (whyNotServing(order.program))
        co_return false;
    http_request request;
    request.method = "POST";
    request.target = "/orders/release";
    request.headers.add("Content-Type", "application/json");
    request.body = releaseBody(order.program, m_membership.view().number);
    const auto response
        = co_await exchangeOnce(engine, std::move(request), runtime_clock::now() + orderLimit);
    co_return response && response->status == 200;
}

void control::confirmRelease(const release_order &order)
{
    const program *p = m_book.find(order.program);
    if (!p || !p->engines.count(order.engine))
        return;
    // Applied before it is durable: at worst a successor sends the order once more.
    const journal_record record = program_released{order.program, order.engine};
    std::vector<journal_record> records(1, record);
    if (m_batcher.append(std::move(records), commit_policy::MustCommit, runtime_clock::now()))
        m_book.apply(record);
    m_commitTimer.cancel();
}

awaitable<void> control::reconcileEngine(std::size_t round)
{
    std::vector<replica> engines;
    for (const replica &r : replicas()) {
        if (isEngine(r.service))
            engines.push_back(r);
    }
    if (engines.empty())
        co_return;
    const replica chosen = engines[round % engines.size()];
    const auto address = parseEndpoint(chosen.address);
    if (!address)
        co_return;
    http_request request;
    request.method = "GET";
    request.target = "/programs";
    const auto response
        = co_await exchangeOnce(*address, std::move(request), runtime_clock::now() + orderLimit);
    if (!response || response->status != 200)
        co_return;
    std::vector<program_id> held;
    for (program_id &id : heldIn(response->body)) {
        if (!whyNotServing(id))
            held.push_back(std::move(id));
    }
    const auto orders = release_planner::reconcile(m_book, chosen.id, held);
    for (const release_order &order : orders) {
        if (co_await sendRelease(order, *address))
            confirmRelease(order);
    }
}

} // namespace azurehill
