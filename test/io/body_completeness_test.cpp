#include "http/body_completeness.h"
#include "http/event_stream_scanner.h"
#include "http/sse.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace azurehill::test {

namespace {

body_end endOf(body_framing framing, std::string_view contentType, std::string_view body,
               bool isRequestWritten = true)
{
    body_completeness judged(framing, syntaxOf(contentType, body_syntax::Opaque));
    judged.onBytes(body);
    return judged.endOfBody(true, isRequestWritten);
}

/// \returns a stream of lines that have either line end, cut after any byte.
rc::Gen<std::string> cutStreams()
{
    const auto line = rc::gen::element<std::string>("data: x", "data:", "id: 7", "", ": ping",
                                                    "data", "datum: x", "event: error");
    const auto lineEnd = rc::gen::element<std::string>("\n", "\r\n");
    const auto lines = rc::gen::container<std::vector<std::pair<std::string, std::string>>>(
        rc::gen::pair(line, lineEnd));
    return rc::gen::mapcat(lines, [](const auto &all) {
        std::string stream;
        for (const auto &[text, end] : all)
            stream += text + end;
        return rc::gen::map(rc::gen::inRange<std::size_t>(0, stream.size() + 1),
                            [stream](std::size_t size) { return stream.substr(0, size); });
    });
}

/// \returns the number of whole events in \p stream that have data, as their reader finds them.
std::size_t countDataEvents(const std::string &stream)
{
    sse_reader reader;
    std::size_t count = 0;
    reader.feed(stream);
    while (reader.next())
        ++count;
    return count;
}

/// \returns whether \p bytes without their comment lines are empty.
bool holdsOnlyComments(std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        if (!bytes.starts_with(':') || end == std::string_view::npos)
            return false;
        bytes.remove_prefix(end + 1);
    }
    return true;
}

} // namespace

TEST_SUITE("completeness of bodies")
{
    TEST_CASE("the end of the framing is the end of a body that shows nothing else")
    {
        CHECK(endOf(body_framing::Length, "text/plain", "data: x") == body_end::Complete);
        CHECK(endOf(body_framing::Connection, "", "data: x") == body_end::Complete);
        CHECK(body_completeness(body_framing::Length, body_syntax::Opaque).endOfBody(false, true)
              == body_end::CutShort);
    }

    // Guards against a reset, reported to the write alone, that is taken for an orderly end.
    TEST_CASE("a body without a framing is complete only if the request was written")
    {
        const auto beforeRequest = [](body_framing framing, std::string_view type) {
            return endOf(framing, type, "data: x\n\n", false);
        };
        for (const std::string_view type : {"text/plain", "text/event-stream"}) {
            CHECK(beforeRequest(body_framing::Connection, type) == body_end::BeforeRequest);
            CHECK(beforeRequest(body_framing::Length, type) == body_end::Complete);
            CHECK(beforeRequest(body_framing::Chunked, type) == body_end::Complete);
            CHECK(beforeRequest(body_framing::None, type) == body_end::Complete);
        }
    }

    TEST_CASE("an event stream is told by its content type")
    {
        CHECK(syntaxOf("text/event-stream", body_syntax::Opaque) == body_syntax::EventStream);
        CHECK(syntaxOf(" Text/Event-Stream ; charset=utf-8", body_syntax::Opaque)
              == body_syntax::EventStream);
        CHECK(syntaxOf("text/event-streams", body_syntax::EventStream) == body_syntax::Opaque);
        CHECK(syntaxOf("", body_syntax::EventStream) == body_syntax::EventStream);
    }

    // Guards against a boundary that is missed when the stream is split at an unlucky byte.
    TEST_CASE("an event stream ends inside an event exactly if its reader holds a part of one")
    {
        CHECK(rc::check([] {
            const std::string stream = *cutStreams();
            const auto at = *rc::gen::inRange<std::size_t>(0, stream.size() + 1);
            body_completeness judged(body_framing::Chunked, body_syntax::EventStream);
            judged.onBytes(std::string_view(stream).substr(0, at));
            judged.onBytes(std::string_view(stream).substr(at));
            sse_reader reader;
            reader.feed(stream);
            while (reader.nextEvent()) { }
            const bool isWhole = holdsOnlyComments(reader.unfinished());
            RC_ASSERT((judged.endOfBody(true, true) == body_end::Complete) == isWhole);
        }));
    }

    // Guards against tokens that are charged for other events than those that have data.
    TEST_CASE("a scanner counts the events that a reader finds, however the stream is split")
    {
        CHECK(rc::check([] {
            const std::string stream = *cutStreams();
            const auto at = *rc::gen::inRange<std::size_t>(0, stream.size() + 1);
            event_stream_scanner scanner;
            scanner.scan(std::string_view(stream).substr(0, at));
            scanner.scan(std::string_view(stream).substr(at));
            RC_ASSERT(scanner.dataEvents() == countDataEvents(stream));
        }));
    }
}

} // namespace azurehill::test
