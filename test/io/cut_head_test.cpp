#include <doctest/doctest.h>

// entry_fixture.h uses doctest's macros.
#include "entry_fixture.h"
#include "platform/platform_store.h"

#include <array>
#include <functional>
#include <string>

namespace azurehill::test {

namespace {

/// How a replica ends a connection inside the head of its answer.
constexpr std::array<std::string_view, 2> cuts = {"<close>", "<reset>"};

/// A success that has neither a length nor chunks, so that the end of its connection ends it.
const std::string successHead = "HTTP/1.1 200 OK\r\nX-Azurehill-Request-Id: ID\r\n"
                                "X-Azurehill-Server-Stamp: stamp\r\n"
                                "Content-Type: text/event-stream\r\n\r\n";

int statusOf(const std::string &answer)
{
    return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
}

/// \brief Calls \p check with each part of \p head that is not the whole of it, and each way in
/// which its connection may end.
void forEachCut(const std::string &head, const std::function<void(const std::string &)> &check)
{
    for (std::size_t size = 1; size < head.size(); ++size) {
        CAPTURE(size);
        for (const std::string_view cut : cuts) {
            CAPTURE(cut);
            check(head.substr(0, size) + std::string(cut));
        }
    }
}

/// \brief Sends requests whose answers are cut, each another one, and checks what their clients
/// get.
class cut_answers
{
public:
    /// \param before what each replica sends before the head that is cut.
    explicit cut_answers(std::string before = "") : m_before(std::move(before)) { }

    void checkUnsafe()
    {
        forEachCut(successHead, [this](const std::string &cut) {
            w.a.script = w.b.script = {m_before + cut};
            const std::size_t arrived = w.a.arrived.size() + w.b.arrived.size();
            CHECK(statusOf(ask("/unsafe/")) == 502);
            CHECK(w.a.arrived.size() + w.b.arrived.size() == arrived + 1);
        });
    }
    void checkSafe()
    {
        w.a.onReply = [this] { w.b.script.clear(); };
        w.b.onReply = [this] { w.a.script.clear(); };
        forEachCut(successHead, [this](const std::string &cut) {
            w.a.script = w.b.script = {m_before + cut};
            CHECK(ask("/safe/").ends_with("\r\n\r\nok"));
        });
    }
    void checkStream(const std::string &prefix)
    {
        forEachCut(successHead, [&](const std::string &cut) {
            w.model.script = {m_before + cut, m_before + cut};
            CHECK(statusOf(ask(prefix)) == 502);
        });
    }

    entry_fixture w;

private:
    std::string ask(const std::string &prefix)
    {
        ++m_number;
        return w.ask(fmt::format("POST {}{} HTTP/1.1\r\nX-Azurehill-Request-Id: r{}", prefix,
                                 m_number, m_number));
    }

    std::string m_before;
    int m_number = 0;
};

} // namespace

TEST_SUITE("heads that are cut")
{
    // Guards against a success with an empty body, framed as whole, for a head of which only a part
    // arrived.
    TEST_CASE("a replica ends its connection inside the head of its answer")
    {
        SUBCASE("to a non-idempotent request: it fails, and runs once")
        {
            cut_answers().checkUnsafe();
        }
        SUBCASE("to an idempotent one: another replica serves it")
        {
            cut_answers().checkSafe();
        }
        SUBCASE("to a turn: it fails")
        {
            cut_answers().checkStream("/turn/");
        }
        SUBCASE("to a stream that may be resumed: it fails")
        {
            cut_answers().checkStream("/chat/");
        }
        SUBCASE("after interim responses: likewise")
        {
            const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n"
                                        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
            cut_answers(interim).checkUnsafe();
        }
    }

    TEST_CASE("a connection that is used again ends inside a head")
    {
        cut_answers c;
        // The first answer leaves an idle connection at the only replica.
        c.w.service->setReplicas({c.w.a.entry});
        forEachCut(successHead, [&](const std::string &cut) {
            const int connections = c.w.a.connections;
            c.w.a.script = {scripted_replica::good("first"), cut};
            CHECK(
                c.w.ask("POST /unsafe/1 HTTP/1.1\r\nX-Azurehill-Request-Id: f").ends_with("first"));
            static int number = 0;
            CHECK(statusOf(c.w.ask(fmt::format(
                      "POST /unsafe/n{} HTTP/1.1\r\nX-Azurehill-Request-Id: s", ++number)))
                  == 502);
            CHECK(c.w.a.connections == connections + 1);
        });
    }

    // Guards against rows that count as absent, and writes that count as refused, since the store's
    // answer did not arrive.
    TEST_CASE("the store's connection, or a peer's, ends inside a head")
    {
        asio::io_context context;
        scripted_replica server(context, "store", "store");
        platform_store store(
            std::make_shared<direct_transport>(context.get_executor(), server.entry.address));
        forEachCut("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n",
                   [&](const std::string &cut) {
                       server.script = {cut, cut, cut, cut};
                       auto call = [&]() -> awaitable<void> {
                           const time_point deadline = runtime_clock::now() + seconds(5);
                           row_range range{"t", "p", "", ""};
                           const auto page = co_await store.read(std::move(range), deadline);
                           CHECK_FALSE(page.has_value());
                           store_transaction t;
                           t.writes.push_back({{"t", "p", "a"}, "x"});
                           const auto written = co_await store.transact(std::move(t), deadline);
                           REQUIRE_FALSE(written.has_value());
                           CHECK(written.error().kind == store_error_kind::Unknown);
                       };
                       runIn(context, call());
                   });
    }
}

} // namespace azurehill::test
