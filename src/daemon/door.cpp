#include "daemon/door.h"

#include "core/log.h"
#include "daemon/auth.h"
#include "daemon/call_parser.h"
#include "daemon/pass_through.h"
#include "daemon/problems.h"
#include "daemon/stream_writer.h"
#include "http/http_client.h"

#include <boost/json.hpp>

namespace azurehill {

namespace json = boost::json;

namespace {

constexpr std::string_view innerPath = "/inner/rpc";
constexpr std::string_view programsPath = "/v1/programs";
constexpr duration lookUpTtl = seconds(10);
constexpr duration passOnConnectLimit = seconds(1);
constexpr duration passOnSilenceLimit = seconds(120);
constexpr duration passOnCheckPeriod = milliseconds(250);
// A daemon that has drained leaves the view while its last bytes are on their way.
constexpr int passOnChecksWithoutOwner = 4;

http_response lookUpResponse(const std::vector<member> &members)
{
    json::array addresses;
    for (const member &m : members)
        addresses.push_back({{"address", m.address}, {"data_centre", m.dataCentre.value}});
    return jsonResponse(200,
                        json::serialize(json::object{{"addresses", addresses},
                                                     {"ttl_ms", toMilliseconds(lookUpTtl)}}));
}

json::object programJson(const program &p)
{
    return {{"id", p.id.value},
            {"parent", p.parent.value},
            {"tenant", p.tenant.value},
            {"class", p.programClass},
            {"budget_tokens", p.budgetTokens},
            {"spent_tokens", p.spentTokens},
            {"reserved_tokens", p.openCall ? p.openCall->reservedTokens : 0},
            {"last_turn", p.lastTurn},
            {"deadline_unix_ms", p.deadlineUnixMs},
            {"state", p.ended ? toName(*p.ended) : std::string_view("running")}};
}

tl::expected<create_request, problem> parseCreate(const http_request &request,
                                                  const tenant_id &tenant)
{
    try {
        const json::object o = json::parse(request.body).as_object();
        create_request r;
        r.tenant = tenant;
        r.programClass = std::string(o.at("class").as_string());
        if (const auto *parent = o.if_contains("parent"))
            r.parent.value = std::string(parent->as_string());
        if (const auto *budget = o.if_contains("budget_tokens"))
            r.budgetTokens = budget->to_number<std::int64_t>();
        if (const auto *deadline = o.if_contains("deadline_ms"))
            r.deadlineMs = deadline->to_number<std::int64_t>();
        if (!r.parent.empty() && !isProgramId(r.parent.value))
            return tl::unexpected(malformedProblem("parent is not a program's id"));
        if (r.budgetTokens < 0 || r.deadlineMs < 0)
            return tl::unexpected(
                malformedProblem("budget_tokens and deadline_ms must be above 0"));
        return r;
    } catch (const std::exception &e) {
        return tl::unexpected(malformedProblem(e.what()));
    }
}

http_response createdResponse(const program_id &id)
{
    return jsonResponse(201, json::serialize(json::object{{"id", id.value}}));
}

/// \returns the methods of the resource at \p path, or nothing when any may do or there is none.
std::string_view allowedMethods(std::string_view path)
{
    if (path == "/healthz" || path == "/readyz" || path == "/metrics" || path == "/v1/lookup")
        return "GET, HEAD";
    if (path == programsPath || path == "/v1/chat/completions")
        return "POST";
    if (path.starts_with("/v1/programs/"))
        return "GET, HEAD, DELETE";
    return {};
}

bool isAllowed(std::string_view allowed, std::string_view method)
{
    while (!allowed.empty()) {
        const std::string_view one = allowed.substr(0, allowed.find(','));
        if (one == method)
            return true;
        allowed.remove_prefix(std::min(allowed.size(), one.size() + 2));
    }
    return false;
}

} // namespace

awaitable<void> door::serve(const http_request &request, response_writer &writer)
{
    return route(request, writer, origin::Caller);
}

awaitable<void> door::serveInner(const http_request &request, response_writer &writer)
{
    if (!equalInConstantTime(request.headers.get("Azurehill-Inner-Token"), m_settings.innerToken)) {
        http_response reply = toResponse(unauthorizedProblem());
        co_await writer.write(std::move(reply));
        co_return;
    }
    if (request.path() == innerPath) {
        auto answer = [this, text = request.body] { return m_control.answerInner(text); };
        std::string text = co_await onControl(answer);
        http_response response = jsonResponse(200, std::move(text));
        co_await writer.write(std::move(response));
        co_return;
    }
    co_await route(request, writer, origin::Daemon);
}

awaitable<void> door::route(const http_request &request, response_writer &writer, origin from)
{
    const std::string path(request.path());
    const std::string_view allowed = allowedMethods(path);
    if (!allowed.empty() && !isAllowed(allowed, request.method)) {
        http_response reply = methodNotAllowed(allowed);
        co_await writer.write(std::move(reply));
        co_return;
    }
    if (path == "/healthz") {
        http_response reply = jsonResponse(200, R"({"status":"ok"})");
        co_await writer.write(std::move(reply));
        co_return;
    }
    if (path == "/readyz")
        co_return co_await readiness(writer);
    if (path == "/metrics")
        co_return co_await reportMetrics(request, writer);
    if (path == "/v1/lookup")
        co_return co_await lookUp(request, writer);
    if (path == "/inner/config" && from == origin::Daemon)
        co_return co_await tellConfig(writer);
    if (path.starts_with("/operator/"))
        co_return co_await m_operators.serve(request, writer);
    co_await routeTenant(request, writer, from);
}

awaitable<void> door::routeTenant(const http_request &request, response_writer &writer, origin from)
{
    const std::string path(request.path());
    auto readConfig = [this] { return m_control.config(); };
    const auto config = co_await onControl(readConfig);
    if (!config) {
        http_response reply = toResponse(notReadyProblem());
        co_await writer.write(std::move(reply));
        co_return;
    }
    const auto tenant = authenticate(*config, request);
    if (!tenant) {
        http_response refused = toResponse(unauthorizedProblem());
        refused.headers.add("WWW-Authenticate", "Bearer");
        co_await writer.write(std::move(refused));
        co_return;
    }
    if (path == programsPath)
        co_return co_await createProgram(request, *tenant, writer, from);
    if (path.starts_with("/v1/programs/"))
        co_return co_await oneProgram(request, *tenant, writer, from);
    if (isPassThrough(request))
        co_return co_await passThrough(m_control, m_controlThread, request, writer);
    if (path == "/v1/chat/completions" || path.starts_with("/v1/tools/")
        || path.starts_with("/v1/services/"))
        co_return co_await call(request, *tenant, *config, writer, from);
    http_response reply = toResponse(notFoundProblem(path));
    co_await writer.write(std::move(reply));
}

awaitable<void> door::readiness(response_writer &writer)
{
    auto readState = [this] { return m_control.isReady(); };
    const bool ready = co_await onControl(readState);
    http_response response
        = ready ? jsonResponse(200, R"({"status":"ready"})") : toResponse(notReadyProblem());
    co_await writer.write(std::move(response));
}

awaitable<void> door::tellConfig(response_writer &writer)
{
    auto read = [this] { return m_control.configForPeer(); };
    const auto known = co_await onControl(read);
    http_response response
        = known ? jsonResponse(200, toText(*known)) : toResponse(notReadyProblem());
    co_await writer.write(std::move(response));
}

awaitable<void> door::reportMetrics(const http_request &request, response_writer &writer)
{
    // The labels name the tenants, which is nothing for callers to see.
    if (!equalInConstantTime(sha256Hex(bearerToken(request)), m_settings.operatorTokenSha256)) {
        http_response reply = toResponse(unauthorizedProblem());
        co_await writer.write(std::move(reply));
        co_return;
    }
    auto read = [this] { return m_control.gauges(); };
    const state_gauges gauges = co_await onControl(read);
    http_response response;
    response.headers.add("Content-Type", "text/plain; version=0.0.4");
    response.body = m_control.measures().toText(gauges);
    co_await writer.write(std::move(response));
}

awaitable<void> door::lookUp(const http_request &request, response_writer &writer)
{
    std::optional<program_id> id;
    if (const auto text = request.query("program"))
        id = program_id{*text};
    auto findMembers = [this, id] { return m_control.lookUp(id); };
    const auto members = co_await onControl(findMembers);
    http_response reply = lookUpResponse(members);
    co_await writer.write(std::move(reply));
}

awaitable<void> door::createProgram(const http_request &request, const tenant_id &tenant,
                                    response_writer &writer, origin from)
{
    const auto parsed = parseCreate(request, tenant);
    if (!parsed) {
        http_response reply = toResponse(parsed.error());
        co_await writer.write(std::move(reply));
        co_return;
    }
    if (!parsed->parent.empty() && co_await passToOwner(parsed->parent, request, writer, from))
        co_return;
    auto findTenant = [this, id = parsed->parent] { return m_control.tenantOf(id); };
    const auto parentTenant = co_await onControl(findTenant);
    if (parentTenant && *parentTenant != tenant) {
        http_response reply = toResponse(notFoundProblem(parsed->parent.value));
        co_await writer.write(std::move(reply));
        co_return;
    }
    auto create = [this, wanted = *parsed] { return m_control.createProgram(wanted); };
    const auto created = co_await onControl(create);
    if (!created)
        m_control.measures().onRefused(tenant, toName(created.error().reason));
    http_response response
        = created ? createdResponse(*created) : toResponse(toProblem(created.error()));
    co_await writer.write(std::move(response));
}

awaitable<void> door::oneProgram(const http_request &request, const tenant_id &tenant,
                                 response_writer &writer, origin from)
{
    const program_id id{std::string(request.path().substr(programsPath.size() + 1))};
    if (!isProgramId(id.value)) {
        http_response reply = toResponse(notFoundProblem(id.value));
        co_await writer.write(std::move(reply));
        co_return;
    }
    if (co_await passToOwner(id, request, writer, from))
        co_return;
    auto inspect = [this, id] { return m_control.inspect(id); };
    const auto found = co_await onControl(inspect);
    if (!found || found->tenant != tenant) {
        http_response reply = toResponse(notFoundProblem(id.value));
        co_await writer.write(std::move(reply));
        co_return;
    }
    if (request.method == "DELETE") {
        auto end = [this, id] { return m_control.endProgram(id, end_reason::Finished); };
        const auto ended = co_await onControl(end);
        http_response response
            = ended ? jsonResponse(200, "{}") : toResponse(toProblem(ended.error()));
        co_await writer.write(std::move(response));
        co_return;
    }
    http_response reply = jsonResponse(200, json::serialize(programJson(*found)));
    co_await writer.write(std::move(reply));
}

awaitable<void> door::call(const http_request &request, const tenant_id &tenant,
                           const configuration &config, response_writer &writer, origin from)
{
    auto parsed = parseCall(request, config);
    if (!parsed) {
        http_response reply = toResponse(parsed.error());
        co_await writer.write(std::move(reply));
        co_return;
    }
    parsed->spec.tenant = tenant;
    parsed->spec.acceptedAt = runtime_clock::now();
    const program_id id = parsed->spec.request.program;
    if (co_await passToOwner(id, request, writer, from))
        co_return;
    const bool wantsStream = parsed->stream;
    auto start = [this, spec = parsed->spec] { return m_control.startTenantCall(spec); };
    const auto started = co_await onControl(start);
    if (!started) {
        m_control.measures().onRefused(tenant, toName(started.error().reason));
        http_response reply = toResponse(toProblem(started.error()));
        co_await writer.write(std::move(reply));
        co_return;
    }
    const std::string lastEvent(request.headers.get("Last-Event-ID"));
    if (const auto *stream = std::get_if<std::shared_ptr<call_stream>>(&*started)) {
        if (wantsStream)
            co_await writeStream(*stream, lastEvent, writer);
        else
            co_await writeWhole(*stream, writer);
        co_return;
    }
    co_await writeStored(std::get<closed_call>(*started), wantsStream, lastEvent, writer);
}

awaitable<bool> door::passToOwner(const program_id &id, const http_request &request,
                                  response_writer &writer, origin from)
{
    auto findOwner = [this, id] { return m_control.otherOwner(id); };
    const auto owner = co_await onControl(findOwner);
    if (!owner)
        co_return false;
    if (from == origin::Daemon) {
        // Two daemons with different views would pass a request to and fro for ever.
        http_response reply = toResponse(movingProblem());
        co_await writer.write(std::move(reply));
        co_return true;
    }
    co_await passOn(*owner, request, writer);
    co_return true;
}

awaitable<void> door::passOn(const member &owner, const http_request &request,
                             response_writer &writer)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto connection = std::make_shared<http_connection>(executor);
    closeWhenCallerGoes(connection, writer);
    // Named, not a temporary: g++ 12 frees a temporary of a co_await expression twice.
    const endpoint peer = parseEndpoint(owner.innerAddress).value_or(endpoint{});
    const auto connected
        = co_await connection->connect(peer, runtime_clock::now() + passOnConnectLimit);
    if (!connected) {
        http_response reply = toResponse(movingProblem());
        co_await writer.write(std::move(reply));
        co_return;
    }
    spawn(executor, "closeWhenGone", closeWhenGone(connection, owner));
    http_request out = request;
    out.headers = endToEnd(request.headers);
    out.headers.add("Azurehill-Inner-Token", m_settings.innerToken);
    auto head = co_await connection->sendAndReadHead(std::move(out),
                                                     runtime_clock::now() + passOnSilenceLimit);
    if (!head) {
        http_response reply = toResponse(passOnProblem(head.error()));
        co_await writer.write(std::move(reply));
        co_return;
    }
    // A cut in the middle reaches the caller as a cut: it resumes by the id of its last event.
    co_await relayResponse(*connection, std::move(*head), writer, passOnSilenceLimit);
}

awaitable<void> door::closeWhenGone(std::weak_ptr<http_connection> passedOn, member owner)
{
    // An owner whose host stands still keeps its connections open and says nothing, which looks
    // like a long call. Once the view is without it, its answer could not be durable any more.
    auto isMember = [this, owner] {
        const cell_view view = m_control.view();
        const member *found = view.find(owner.daemon);
        return found && found->incarnation == owner.incarnation;
    };
    for (int missed = 0; missed < passOnChecksWithoutOwner && !passedOn.expired();) {
        co_await sleepFor(passOnCheckPeriod);
        const bool there = co_await onControl(isMember);
        missed = there ? 0 : missed + 1;
    }
    if (const auto connection = passedOn.lock())
        connection->close();
}

} // namespace azurehill
