#include <doctest/doctest.h>

// entry_fixture.h uses doctest's macros.
#include "entry_fixture.h"

namespace azurehill::test {

namespace {

constexpr std::string_view lastChunk = "0\r\n\r\n";

/// \returns a stream with \p body that has neither a length nor chunks and ends with its
/// connection.
std::string unframedStream(std::string_view body)
{
    return fmt::format("HTTP/1.1 200 OK\r\nX-Azurehill-Request-Id: ID\r\n"
                       "X-Azurehill-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n"
                       "Connection: close\r\n\r\n{}<close>",
                       body);
}

} // namespace

TEST_SUITE("answers that break off")
{
    // Guards against a crashed replica whose stream is taken for complete when its connection ends.
    TEST_CASE("a stream that ends with its connection inside an event is broken off")
    {
        entry_fixture w;
        w.model.script = {unframedStream("id: 1\ndata: e1\n\nid: 2\ndata: to")};

        SUBCASE("its caller sees no end, and its turn is not there for the next one")
        {
            CHECK_FALSE(w.turn("t1", "", "one;").ends_with(lastChunk));
            CHECK(w.turn("t2", "t1", "two;").starts_with("HTTP/1.1 404"));
            CHECK(w.model.arrived.size() == 1);
        }
    }
}

} // namespace azurehill::test
