#include "daemon/door.h"

#include "core/log.h"
#include "daemon/auth.h"
#include "daemon/call_parser.h"
#include "daemon/problems.h"
#include "daemon/stream_writer.h"
#include "http/http_client.h"

#include <boost/json.hpp>

namespace azurehill {

namespace json = boost::json;

namespace {

constexpr std::string_view programsPath = "/v1/programs";
constexpr duration lookUpTtl = seconds(10);
constexpr duration passOnConnectLimit = seconds(1);
constexpr duration passOnSilenceLimit = seconds(120);

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
            {"reserved_tokens", p.open ? p.open->reservedTokens : 0},
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
        return r;
    } catch (const std::exception &e) {
        return tl::unexpected(malformedProblem(e.what()));
    }
}

http_response createdResponse(const program_id &id)
{
    return jsonResponse(201, json::serialize(json::object{{"id", id.value}}));
}

} // namespace

awaitable<void> door::serve(const http_request &request, response_writer &writer)
{
    return route(request, writer, origin::Caller);
}

awaitable<void> door::serveInner(const http_request &request, response_writer &writer)
{
    if (!equalInConstantTime(request.headers.get("Azurehill-Inner-Token"), m_settings.innerToken)) {
        co_await writer.write(toResponse(unauthorizedProblem()));
        co_return;
    }
    co_await route(request, writer, origin::Daemon);
}

awaitable<void> door::route(const http_request &request, response_writer &writer, origin from)
{
    const std::string path(request.path());
    if (path == "/healthz") {
        co_await writer.write(jsonResponse(200, R"({"status":"ok"})"));
        co_return;
    }
    if (path == "/readyz")
        co_return co_await readiness(writer);
    if (path == "/v1/lookup")
        co_return co_await lookUp(request, writer);
    if (path == "/inner/config" && from == origin::Daemon)
        co_return co_await tellConfig(writer);
    if (path.starts_with("/operator/"))
        co_return co_await m_operators.serve(request, writer);

    auto readConfig = [this] { return m_control.config(); };
    const auto config = co_await onControl(readConfig);
    if (!config) {
        co_await writer.write(toResponse(notReadyProblem()));
        co_return;
    }
    const auto tenant = authenticate(*config, request);
    if (!tenant) {
        co_await writer.write(toResponse(unauthorizedProblem()));
        co_return;
    }
    if (path == programsPath && request.method == "POST")
        co_return co_await createProgram(request, *tenant, writer, from);
    if (path.starts_with("/v1/programs/"))
        co_return co_await oneProgram(request, *tenant, writer, from);
    if (path == "/v1/chat/completions" || path.starts_with("/v1/tools/")
        || path.starts_with("/v1/services/"))
        co_return co_await call(request, *tenant, writer, from);
    co_await writer.write(toResponse(notFoundProblem(path)));
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

awaitable<void> door::lookUp(const http_request &request, response_writer &writer)
{
    std::optional<program_id> id;
    if (const auto text = request.query("program"))
        id = program_id{*text};
    auto findMembers = [this, id] { return m_control.lookUp(id); };
    const auto members = co_await onControl(findMembers);
    co_await writer.write(lookUpResponse(members));
}

awaitable<void> door::createProgram(const http_request &request, const tenant_id &tenant,
                                    response_writer &writer, origin from)
{
    const auto parsed = parseCreate(request, tenant);
    if (!parsed) {
        co_await writer.write(toResponse(parsed.error()));
        co_return;
    }
    if (!parsed->parent.empty() && co_await passToOwner(parsed->parent, request, writer, from))
        co_return;
    auto create = [this, wanted = *parsed] { return m_control.createProgram(wanted); };
    const auto created = co_await onControl(create);
    http_response response
        = created ? createdResponse(*created) : toResponse(toProblem(created.error()));
    co_await writer.write(std::move(response));
}

awaitable<void> door::oneProgram(const http_request &request, const tenant_id &tenant,
                                 response_writer &writer, origin from)
{
    const program_id id{std::string(request.path().substr(programsPath.size() + 1))};
    if (!isProgramId(id.value)) {
        co_await writer.write(toResponse(notFoundProblem(id.value)));
        co_return;
    }
    if (co_await passToOwner(id, request, writer, from))
        co_return;
    auto inspect = [this, id] { return m_control.inspect(id); };
    const auto found = co_await onControl(inspect);
    if (!found || found->tenant != tenant) {
        co_await writer.write(toResponse(notFoundProblem(id.value)));
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
    co_await writer.write(jsonResponse(200, json::serialize(programJson(*found))));
}

awaitable<void> door::call(const http_request &request, const tenant_id &tenant,
                           response_writer &writer, origin from)
{
    auto readConfig = [this] { return m_control.config(); };
    const auto config = co_await onControl(readConfig);
    auto parsed = parseCall(request, *config);
    if (!parsed) {
        co_await writer.write(toResponse(parsed.error()));
        co_return;
    }
    const program_id id = parsed->spec.request.program;
    if (co_await passToOwner(id, request, writer, from))
        co_return;
    auto inspect = [this, id] { return m_control.inspect(id); };
    const auto known = co_await onControl(inspect);
    if (known && known->tenant != tenant) {
        co_await writer.write(toResponse(notFoundProblem(id.value)));
        co_return;
    }
    const bool wantsStream = parsed->stream;
    auto start = [this, spec = parsed->spec] { return m_control.startCall(spec); };
    const auto started = co_await onControl(start);
    if (!started) {
        co_await writer.write(toResponse(toProblem(started.error())));
        co_return;
    }
    const std::string lastEvent(request.headers.get("Last-Event-ID"));
    if (const auto *stream = std::get_if<std::shared_ptr<call_stream>>(&*started)) {
        if (wantsStream)
            co_await writeStream(**stream, lastEvent, writer);
        else
            co_await writeWhole(**stream, writer);
        co_return;
    }
    co_await writeStored(std::get<closed_call>(*started), wantsStream, writer);
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
        co_await writer.write(toResponse(movingProblem()));
        co_return true;
    }
    co_await passOn(*owner, request, writer);
    co_return true;
}

awaitable<void> door::passOn(const member &owner, const http_request &request,
                             response_writer &writer)
{
    http_connection connection(co_await asio::this_coro::executor);
    const auto peer = parseEndpoint(owner.innerAddress);
    const auto connected = co_await connection.connect(peer.value_or(endpoint{}),
                                                       runtime_clock::now() + passOnConnectLimit);
    if (!connected) {
        co_await writer.write(toResponse(movingProblem()));
        co_return;
    }
    http_request out = request;
    out.headers.add("Azurehill-Inner-Token", m_settings.innerToken);
    const auto head
        = co_await connection.open(std::move(out), runtime_clock::now() + passOnSilenceLimit);
    if (!head) {
        co_await writer.write(toResponse(passOnProblem(head.error())));
        co_return;
    }
    header_list headers;
    for (const char *name : {"Content-Type", "Retry-After"}) {
        if (head->headers.has(name))
            headers.add(name, head->headers.get(name));
    }
    bool open = co_await writer.begin(head->status, std::move(headers));
    while (open) {
        const auto piece = co_await connection.readSome(runtime_clock::now() + passOnSilenceLimit);
        if (!piece)
            co_return; // the caller sees a cut stream and resumes it
        if (piece->empty())
            break;
        open = co_await writer.writeChunk(*piece);
    }
    if (open)
        co_await writer.end();
}

} // namespace azurehill
