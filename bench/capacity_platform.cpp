#include "bench/capacity_platform.h"

#include "bench/capacity_samples.h"
#include "http/http_client.h"
#include "standin/platform_standin.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <future>
#include <pthread.h>

namespace azurehill::bench {

namespace json = boost::json;

namespace {

constexpr duration pollPause = milliseconds(20);
/// Programs that each daemon's turns go round.
constexpr int programsInTurn = 24;
constexpr std::string_view cell = "main";

traffic_kind kindOf(const http_request &request)
{
    if (request.path() == "/hosts")
        return traffic_kind::Hosts;
    // The journal's batches carry other words in their text, so it is looked for first.
    const std::string_view body = request.body;
    if (body.find("journal/") != body.npos || request.path().find("journal/") != body.npos)
        return traffic_kind::Journal;
    // A change of the view also checks leases.
    if (body.find("view/") != body.npos)
        return traffic_kind::View;
    if (body.find("lease/") != body.npos)
        return traffic_kind::Lease;
    return body.find("config/") != body.npos ? traffic_kind::Config : traffic_kind::Other;
}

bool isWrite(const http_request &request)
{
    return request.path() == "/table/transact" || request.method == "PUT"
        || request.method == "DELETE";
}

std::int64_t bytesOf(const header_list &headers)
{
    constexpr int separators = 4;
    std::int64_t bytes = 0;
    for (const auto &[name, value] : headers)
        bytes += static_cast<std::int64_t>(name.size() + value.size()) + separators;
    return bytes;
}

std::int64_t bytesOf(const http_request &r)
{
    constexpr int requestLine = 12;
    return requestLine
        + static_cast<std::int64_t>(r.method.size() + r.target.size() + r.body.size())
        + bytesOf(r.headers);
}

std::int64_t bytesOf(const http_response &r)
{
    // Status line, the server's own fields and the empty line.
    constexpr int fixed = 60;
    return fixed + static_cast<std::int64_t>(r.body.size()) + bytesOf(r.headers);
}

/// \brief Counts the bytes of the one response that passes through.
class counting_writer : public response_writer
{
public:
    counting_writer(response_writer &next, std::atomic<std::int64_t> &bytes)
        : m_next(next), m_bytes(bytes)
    { }

    awaitable<bool> write(http_response response) override
    {
        m_bytes += bytesOf(response);
        return m_next.write(std::move(response));
    }
    awaitable<bool> begin(int status, header_list headers) override
    {
        return m_next.begin(status, std::move(headers));
    }
    awaitable<bool> writeChunk(std::string_view bytes) override { return m_next.writeChunk(bytes); }
    awaitable<bool> end() override { return m_next.end(); }
    bool finished() const override { return m_next.finished(); }

private:
    response_writer &m_next;
    std::atomic<std::int64_t> &m_bytes;
};

config_document makeDocument(int tenants)
{
    config_document document;
    document.head.number = 1;
    document.head.id = "bench";
    document.head.author = "bench";
    document.head.config = std::make_shared<const configuration>(makeConfiguration(tenants));
    return document;
}

http_request hostRequest(const replica &r)
{
    const endpoint address = *parseEndpoint(r.address);
    http_request request;
    request.method = "POST";
    request.target = "/hosts";
    request.body = json::serialize(json::object{{"name", r.id.value},
                                                {"service", r.service},
                                                {"host", address.host},
                                                {"port", address.port},
                                                {"data_centre", r.dataCentre.value},
                                                {"leaving", false}});
    return request;
}

settings makeSettings(const counted_platform &platform, const member &self)
{
    settings s;
    s.name = self.daemon.value;
    s.cell = cell;
    s.dataCentre = self.dataCentre.value;
    s.platform = platform.address();
    return s;
}

} // namespace

traffic total(const traffic_by_kind &kinds)
{
    traffic sum;
    for (const traffic &t : kinds) {
        sum.reads += t.reads;
        sum.writes += t.writes;
        sum.bytes += t.bytes;
    }
    return sum;
}

traffic_by_kind operator-(const traffic_by_kind &a, const traffic_by_kind &b)
{
    traffic_by_kind difference;
    for (std::size_t i = 0; i < a.size(); ++i)
        difference[i] = a[i] - b[i];
    return difference;
}

counted_platform::counted_platform(int tenants, int replicas)
    : m_platform(standin::makePlatform(duration(0))),
      m_server(m_context.get_executor(), {},
               [this](const http_request &r, response_writer &w) { return serve(r, w); })
{
    m_port = m_server.listen({"127.0.0.1", 0});
    m_thread = std::thread([this] {
        const auto work = asio::make_work_guard(m_context);
        m_context.run();
    });
    asio::co_spawn(m_context, fill(tenants, replicas), asio::use_future).get();
}

counted_platform::~counted_platform()
{
    m_context.stop();
    m_thread.join();
}

traffic_by_kind counted_platform::counts() const
{
    traffic_by_kind result;
    for (std::size_t i = 0; i < result.size(); ++i)
        result[i] = {m_counters[i].reads, m_counters[i].writes, m_counters[i].bytes};
    return result;
}

awaitable<void> counted_platform::serve(const http_request &request, response_writer &writer)
{
    counter &c = m_counters[static_cast<std::size_t>(kindOf(request))];
    ++(isWrite(request) ? c.writes : c.reads);
    c.bytes += bytesOf(request);
    counting_writer counting(writer, c.bytes);
    co_await m_platform(request, counting);
}

awaitable<void> counted_platform::fill(int tenants, int replicas)
{
    platform_client client(address(), seconds(5));
    transaction t;
    t.puts.push_back({"config/" + std::string(cell), toText(makeDocument(tenants))});
    co_await client.transact(std::move(t));
    for (const replica &r : makeReplicas(replicas)) {
        http_request request = hostRequest(r);
        co_await exchangeOnce(address(), std::move(request), runtime_clock::now() + seconds(5));
    }
}

control_group::control_group(const counted_platform &platform, int first, int count)
{
    for (int i = first; i < first + count; ++i) {
        member self = makeMember(i);
        // Heartbeats find an answer there, though not one of a daemon.
        self.innerAddress = toText(platform.address());
        m_daemons.push_back(std::make_unique<control>(
            m_context, makeSettings(platform, self), self,
            [this, at = m_daemons.size()](running_call call) {
                control &owner = *m_daemons[at];
                spawn(m_context.get_executor(), "endCall", endCall(owner, std::move(call)));
            }));
    }
    for (auto &d : m_daemons)
        d->start();
    m_thread = std::thread([this] {
        const auto work = asio::make_work_guard(m_context);
        m_context.run();
    });
}

control_group::~control_group()
{
    m_context.stop();
    m_thread.join();
    m_daemons.clear();
}

bool control_group::waitUntilReady(duration limit, std::size_t members)
{
    const time_point until = runtime_clock::now() + limit;
    const auto ready = [this, members] {
        for (const auto &d : m_daemons) {
            if (!d->isReady() || d->view().members.size() != members)
                return false;
        }
        return true;
    };
    while (!ask(ready)) {
        if (runtime_clock::now() > until)
            return false;
        std::this_thread::sleep_for(pollPause);
    }
    return true;
}

double control_group::changeConfiguration(int tenants)
{
    control &first = *m_daemons.front();
    const config_number known = ask([&] { return first.configVersion(); });
    const auto wanted = std::make_shared<const configuration>(makeConfiguration(tenants));
    const auto stored
        = asio::co_spawn(m_context, first.storeConfig(wanted, "bench", known), asio::use_future)
              .get();
    const time_point accepted = runtime_clock::now();
    if (!stored)
        return -1;
    const auto inForce = [&] {
        return std::all_of(m_daemons.begin(), m_daemons.end(),
                           [&](const auto &d) { return d->configVersion() >= stored->number; });
    };
    while (!ask(inForce))
        std::this_thread::sleep_for(pollPause);
    return std::chrono::duration<double>(runtime_clock::now() - accepted).count();
}

double control_group::processorSeconds()
{
    clockid_t clock{};
    timespec t{};
    if (pthread_getcpuclockid(m_thread.native_handle(), &clock) == 0)
        clock_gettime(clock, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

awaitable<void> control_group::endCall(control &owner, running_call call)
{
    const auto stream = call.stream;
    const journal_record end = makeFinished(call.spec.request.program, call.spec.request.turn);
    co_await owner.finishCall(std::move(call), end);
    stream->finish(call_answer{});
}

awaitable<void> control_group::runTurn(control &owner, program_id id, std::int64_t turn)
{
    call_spec spec;
    spec.request = makeRequest(id, turn);
    spec.tenant.value = "tenant-001";
    spec.service = "model-1";
    const auto started = co_await owner.startCall(std::move(spec));
    if (!started || !std::holds_alternative<std::shared_ptr<call_stream>>(*started))
        co_return;
    const auto stream = std::get<std::shared_ptr<call_stream>>(*started);
    co_await stream->readFrom(0);
    ++m_turnsDone;
}

awaitable<void> control_group::runProgram(control &owner, int turns)
{
    create_request request;
    request.tenant.value = "tenant-001";
    request.programClass = "lesson";
    const auto id = co_await owner.createProgram(request);
    for (int turn = 1; id && turn <= turns; ++turn)
        co_await runTurn(owner, *id, turn);
    --m_programsLeft;
}

void control_group::runPrograms(int programs, int turns)
{
    m_programsLeft += programs * static_cast<int>(m_daemons.size());
    for (auto &d : m_daemons) {
        for (int i = 0; i < programs; ++i)
            spawn(m_context.get_executor(), "runProgram", runProgram(*d, turns));
    }
    while (m_programsLeft > 0)
        std::this_thread::sleep_for(pollPause);
}

awaitable<void> control_group::keepTurning(control &owner, double perSecond)
{
    create_request request;
    request.tenant.value = "tenant-001";
    request.programClass = "lesson";
    std::vector<program_id> ids;
    while (ids.size() < programsInTurn) {
        const auto id = co_await owner.createProgram(request);
        if (id) {
            ids.push_back(*id);
            continue;
        }
        fmt::print(stderr, "{{\"refused\":\"{}\"}}\n", toName(id.error().reason));
        co_await sleepFor(pollPause);
    }
    const duration pause(static_cast<std::int64_t>(1e9 / perSecond));
    time_point next = runtime_clock::now();
    for (std::int64_t i = 0;; ++i) {
        const program_id id = ids[static_cast<std::size_t>(i) % ids.size()];
        spawn(m_context.get_executor(), "runTurn", runTurn(owner, id, i / programsInTurn + 1));
        next += pause;
        co_await sleepFor(next - runtime_clock::now());
    }
}

void control_group::startTurns(double perSecond)
{
    for (auto &d : m_daemons)
        spawn(m_context.get_executor(), "keepTurning", keepTurning(*d, perSecond));
}

} // namespace azurehill::bench
