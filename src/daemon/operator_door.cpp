#include "daemon/operator_door.h"

#include "daemon/auth.h"
#include "daemon/operator_answers.h"
#include "daemon/problems.h"

#include <charconv>

namespace azurehill {

namespace {

constexpr std::size_t longestAuthor = 100;
constexpr std::string_view unnamedAuthor = "operator";

/// \returns the version that a change is made to, or nothing when the header names none.
std::optional<config_number> expectedVersion(const http_request &request)
{
    std::string_view text = request.headers.get("If-Match");
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
        text = text.substr(1, text.size() - 2);
    config_number number = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || stop != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::string authorOf(const http_request &request)
{
    const std::string_view author = request.headers.get("Azurehill-Author");
    return std::string(author.empty() ? unnamedAuthor : author.substr(0, longestAuthor));
}

problem noConfigProblem()
{
    return notFoundProblem("no configuration yet");
}

} // namespace

awaitable<void> operator_door::serve(const http_request &request, response_writer &writer)
{
    if (!equalInConstantTime(sha256Hex(bearerToken(request)), m_settings.operatorTokenSha256)) {
        http_response reply = toResponse(unauthorizedProblem());
        co_await writer.write(std::move(reply));
        co_return;
    }
    const std::string path(request.path());
    http_response response;
    if (path == "/operator/config" && request.method == "PUT")
        response = co_await applyConfig(request);
    else if (path == "/operator/config/history")
        response = co_await history();
    else if (path == "/operator/config")
        response = co_await showConfig();
    else if (path == "/operator/presets")
        response = co_await showPresets();
    else
        response = co_await showState(path);
    co_await writer.write(std::move(response));
}

awaitable<http_response> operator_door::showState(std::string path)
{
    if (path == "/operator/members") {
        auto read = [this] { return m_control.view(); };
        const auto view = co_await onControl(read);
        co_return membersResponse(view);
    }
    if (path == "/operator/programs") {
        auto read = [this] { return m_control.programs(); };
        const auto programs = co_await onControl(read);
        co_return programsResponse(programs);
    }
    if (path == "/operator/upstreams") {
        auto read = [this] { return m_control.replicas(); };
        const auto replicas = co_await onControl(read);
        co_return upstreamsResponse(replicas);
    }
    co_return toResponse(notFoundProblem(path));
}

awaitable<http_response> operator_door::showConfig()
{
    auto readNewest = [this] { return m_control.newestConfig(); };
    const auto head = co_await onControl(readNewest);
    if (!head)
        co_return toResponse(noConfigProblem());
    auto readDecided = [this] { return m_control.configInForce(); };
    const auto decided = co_await onControl(readDecided);
    co_return configResponse(*head, decided);
}

awaitable<http_response> operator_door::showPresets()
{
    // What this daemon goes by: the store isn't read for it.
    auto readHead = [this] { return m_control.configHead(); };
    const auto head = co_await onControl(readHead);
    if (!head)
        co_return toResponse(noConfigProblem());
    auto readDecided = [this] { return m_control.configInForce(); };
    const auto decided = co_await onControl(readDecided);
    co_return presetsResponse(*head, decided);
}

awaitable<http_response> operator_door::history()
{
    auto read = [this] { return m_control.configHistory(); };
    const auto versions = co_await onControl(read);
    if (!versions)
        co_return toResponse(toProblem(config_write_error{}));
    co_return historyResponse(*versions);
}

awaitable<http_response> operator_door::applyConfig(const http_request &request)
{
    const auto expected = expectedVersion(request);
    if (!expected)
        co_return toResponse(
            malformedProblem("If-Match must name the version to change, 0 at first"));
    auto parsed = parseConfiguration(request.body);
    if (!parsed)
        co_return faultsResponse(parsed.error());
    const auto config = std::make_shared<const configuration>(std::move(*parsed));
    const std::string author = authorOf(request);
    auto store = [this, config, author, number = *expected] {
        return m_control.storeConfig(config, author, number);
    };
    const auto stored = co_await onControl(store);
    if (!stored)
        co_return toResponse(toProblem(stored.error()));
    co_return storedResponse(*stored);
}

} // namespace azurehill
