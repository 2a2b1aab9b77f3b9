#include "members/members.h"
#include "platform/platform_client.h"
#include "platform/platform_store.h"
#include "scripted_replica.h"

#include <doctest/doctest.h>

#include <optional>

namespace azurehill::test {

namespace {

constexpr int conflictStatus = 412;

/// \returns \p body with a length, or with the end of its connection as its only framing.
std::string answer(int status, std::string_view body, body_framing framing)
{
    if (framing == body_framing::Length)
        return fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\n\r\n{}", status, body.size(),
                           body);
    return fmt::format("HTTP/1.1 {} X\r\nConnection: close\r\n\r\n{}<close>", status, body);
}

/// \returns \p whole without its last \p missing bytes, as a connection that ends early leaves it.
std::string cutAnswer(int status, std::string_view whole, std::size_t missing, body_framing framing)
{
    if (framing == body_framing::Connection)
        return answer(status, whole.substr(0, whole.size() - missing), framing);
    std::string cut = answer(status, whole, framing);
    cut.resize(cut.size() - missing);
    return cut + "<close>";
}

/// \brief A client of a store whose answers are written byte for byte.
struct scripted_store
{
    scripted_store()
        : replica(context, "store", "store"),
          client(std::make_shared<direct_transport>(context.get_executor(), replica.entry.address))
    { }

    store_result<store_version> write()
    {
        store_result<store_version> result;
        auto go = [&]() -> awaitable<void> {
            store_transaction t;
            t.conditions.push_back({{"t", "p", "a"}, 0});
            t.writes.push_back({{"t", "p", "a"}, "x"});
            result = co_await client.transact(std::move(t), runtime_clock::now() + seconds(5));
        };
        runIn(context, go());
        return result;
    }
    store_result<row_page> read()
    {
        store_result<row_page> result;
        auto go = [&]() -> awaitable<void> {
            row_range range{"t", "p", "", ""};
            result = co_await client.read(std::move(range), runtime_clock::now() + seconds(5));
        };
        runIn(context, go());
        return result;
    }
    store_result<row_page> changes()
    {
        store_result<row_page> result;
        auto go = [&]() -> awaitable<void> {
            std::string table = "t";
            result = co_await client.changes(std::move(table), 1, milliseconds(0),
                                             runtime_clock::now() + seconds(5));
        };
        runIn(context, go());
        return result;
    }

    asio::io_context context;
    scripted_replica replica;
    platform_store client;
};

constexpr std::string_view writtenBody = R"({"ver":7})";
constexpr std::string_view pageBody
    = R"({"ver":7,"rows":[{"table":"t","part":"p","key":"a","ver":3,"value":"eA=="}]})";

/// \returns the result of \p call, which runs on \p context.
template <class Result>
Result resultOf(asio::io_context &context, awaitable<Result> call)
{
    std::optional<Result> result;
    auto go = [&]() -> awaitable<void> { result = co_await std::move(call); };
    runIn(context, go());
    return std::move(*result);
}

} // namespace

TEST_SUITE("answers of the store that break off")
{
    TEST_CASE("a whole answer counts in either framing")
    {
        scripted_store w;
        for (const body_framing framing : {body_framing::Length, body_framing::Connection}) {
            w.replica.script = {answer(200, writtenBody, framing), answer(200, pageBody, framing),
                                answer(conflictStatus, pageBody, framing)};
            CHECK(w.write() == 7);
            CHECK(w.read()->rows.size() == 1);
            const auto conflict = w.write();
            REQUIRE_FALSE(conflict);
            CHECK(conflict.error().kind == store_error_kind::Conflict);
            CHECK(conflict.error().current.size() == 1);
        }
    }

    // Guards against an acknowledgement or a page that counts although a part of it is missing.
    TEST_CASE("no part of an answer counts")
    {
        scripted_store w;
        for (const body_framing framing : {body_framing::Length, body_framing::Connection}) {
            for (std::size_t missing = 1; missing <= writtenBody.size(); ++missing) {
                w.replica.script = {cutAnswer(200, writtenBody, missing, framing)};
                const auto written = w.write();
                REQUIRE_FALSE(written);
                CHECK(written.error().kind == store_error_kind::Unknown);
            }
            for (std::size_t missing = 1; missing <= pageBody.size(); ++missing) {
                w.replica.script = {cutAnswer(200, pageBody, missing, framing),
                                    cutAnswer(200, pageBody, missing, framing)};
                CHECK_FALSE(w.read());
                CHECK_FALSE(w.changes());
            }
        }
    }

    // Guards against rows that are taken for absent because the store's answer lacks them.
    TEST_CASE("a conflict whose rows did not arrive is an unknown outcome")
    {
        scripted_store w;
        for (const body_framing framing : {body_framing::Length, body_framing::Connection}) {
            for (std::size_t missing = 1; missing <= pageBody.size(); ++missing) {
                w.replica.script = {cutAnswer(conflictStatus, pageBody, missing, framing)};
                const auto conflict = w.write();
                REQUIRE_FALSE(conflict);
                CHECK(conflict.error().kind == store_error_kind::Unknown);
            }
        }
    }

    // Guards against a peer that fails while it hands on the store's answer.
    TEST_CASE("no part of an answer that came through a peer counts")
    {
        asio::io_context context;
        scripted_replica store(context, "store", "store");
        scripted_replica peer(context, "peer", "peer");
        const auto transport
            = std::make_shared<peer_transport>(context.get_executor(), store.entry.address);
        transport->setPeers({peer.entry.address});
        platform_store client(transport);
        for (std::size_t missing = 1; missing <= writtenBody.size(); ++missing) {
            store.script = {answer(503, "{}", body_framing::Length)};
            peer.script = {cutAnswer(200, writtenBody, missing, body_framing::Length)};
            store_transaction t;
            t.writes.push_back({{"t", "p", "a"}, "x"});
            const auto written = resultOf(
                context, client.transact(std::move(t), runtime_clock::now() + seconds(5)));
            REQUIRE_FALSE(written);
            CHECK(written.error().kind == store_error_kind::Unknown);
            store.script.clear();
        }
        CHECK(peer.arrived.size() >= 1);
    }

    // Guards against rows and acknowledgements of the product's own table that are parts.
    TEST_CASE("no part of an answer of the product's table counts")
    {
        asio::io_context context;
        scripted_replica table(context, "table", "table");
        platform_client client(table.entry.address, seconds(5));
        const std::string_view rows = R"({"rows":[{"key":"a","value":"x","version":3}]})";
        const std::string_view versions = R"({"versions":{"a":3}})";
        for (const body_framing framing : {body_framing::Length, body_framing::Connection}) {
            table.script = {answer(200, rows, framing), answer(200, versions, framing)};
            CHECK(resultOf(context, client.read({"a"}))->size() == 1);
            CHECK(resultOf(context, client.transact({}))->size() == 1);
            for (std::size_t missing = 1; missing <= versions.size(); ++missing) {
                table.script = {cutAnswer(200, rows, missing, framing),
                                cutAnswer(200, versions, missing, framing)};
                CHECK_FALSE(resultOf(context, client.read({"a"})));
                const auto written = resultOf(context, client.transact({}));
                REQUIRE_FALSE(written);
                CHECK(written.error().kind == platform_error_kind::Unknown);
            }
        }
    }
}

} // namespace azurehill::test
