#include "entry/call_memory.h"
#include "entry_fixture.h"
#include "limits/connection_cost.h"

#include <doctest/doctest.h>

#include <vector>

namespace azurehill::test {

namespace {

constexpr std::size_t covered = connection_cost::coveredAnswerBytes;

} // namespace

TEST_SUITE("memory of a call")
{
    TEST_CASE("the parts of a call are accounted for together")
    {
        std::vector<std::size_t> asked;
        std::size_t limit = 100 * covered;
        call_memory memory;
        memory.setAccount([&](std::size_t bytes) {
            asked.push_back(bytes);
            return bytes <= limit;
        });

        SUBCASE("what the cost of its request covers is not asked for")
        {
            CHECK(memory.tryHold(held_part::Head, covered / 2));
            CHECK(memory.tryHold(held_part::Body, covered / 2));
            CHECK(asked.empty());
            SUBCASE("what is beyond is, with all of it")
            {
                CHECK(memory.tryHold(held_part::Prompt, 1));
                CHECK(asked == std::vector<std::size_t>{covered + 1});
                SUBCASE("until it is given back")
                {
                    CHECK(memory.tryHold(held_part::Body, 0));
                    CHECK(asked.back() == 0);
                }
            }
        }
        SUBCASE("a part that is refused stays as it was")
        {
            limit = 10 * covered;
            CHECK(memory.tryHold(held_part::Body, 8 * covered));
            CHECK_FALSE(memory.tryHold(held_part::Head, 4 * covered));
            CHECK(memory.tryHold(held_part::Head, covered));
            CHECK(asked.back() == 9 * covered);
        }
    }

    // Guards against a limit that refuses answers of replicas in order.
    TEST_CASE("large heads come whole in calm")
    {
        constexpr int fields = 100;
        entry_fixture w;
        w.settings.memoryBytes = 64LL << 20U;
        w.restart();
        std::string answer = scripted_replica::good("whole");
        for (int i = 0; i < fields; ++i)
            answer.insert(answer.find("\r\n") + 2,
                          fmt::format("X-{}: {}\r\n", i, std::string(500, 'x')));
        w.a.script = w.b.script = {answer, answer};
        for (int i = 0; i < 2; ++i) {
            const std::string seen = w.ask("POST /unsafe/1 HTTP/1.1\r\nX-Azurehill-Request-Id: r");
            CHECK(seen.starts_with("HTTP/1.1 200"));
            CHECK(seen.find("X-99: x") != std::string::npos);
            CHECK(seen.ends_with("\r\n\r\nwhole"));
        }
    }

    // Guards against a limit that cuts answers of replicas in order.
    TEST_CASE("large events come whole in calm")
    {
        constexpr std::size_t bytes = 900'000;
        entry_fixture w;
        w.settings.memoryBytes = 64LL << 20U;
        w.restart();
        std::string answer = scripted_replica::stream(1);
        answer.insert(
            answer.find("\r\n\r\n") + 4,
            fmt::format("{:x}\r\nid: 0\ndata: {}\n\n\r\n", bytes + 14, std::string(bytes, 'x')));
        w.model.script = {answer, answer};
        for (const char *path : {"/chat/1", "/turn/1"}) {
            CAPTURE(std::string(path));
            const std::string seen
                = w.ask(fmt::format("POST {} HTTP/1.1\r\nX-Azurehill-Request-Id: r", path));
            CHECK(seen.size() > bytes);
            CHECK(seen.find("data: e1\n\n") != std::string::npos);
        }
    }
}

} // namespace azurehill::test
