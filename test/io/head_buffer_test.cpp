#include "http/head_buffer.h"
#include "runtime/asio.h"

#include <doctest/doctest.h>

#include <stdexcept>
#include <string>
#include <string_view>

namespace azurehill::test {

namespace {

/// \returns whether \p head has a folded line, if the parser consumes its first \p size bytes
/// apart from the rest.
bool hasFoldedLine(std::string_view head, std::size_t size)
{
    head_buffer buffer;
    const std::size_t received = asio::buffer_copy(buffer.prepare(head.size()), asio::buffer(head));
    buffer.commit(received);
    buffer.beginHead();
    buffer.consume(size);
    buffer.consume(head.size() - size);
    CHECK(buffer.size() == 0);
    return buffer.endHead();
}

} // namespace

// Guards against a folded line that is missed since the parser reads the head in parts.
TEST_CASE("a folded line of a head is found however the head is consumed")
{
    constexpr std::string_view plain = "HTTP/1.1 200 OK\r\nA:\t b c\r\n\r\n";
    constexpr std::string_view byBlank = "HTTP/1.1 200 OK\r\nA: b\r\n B: c\r\n\r\n";
    constexpr std::string_view byTab = "HTTP/1.1 200 OK\r\nA: b\r\n\tB: c\r\n\r\n";
    for (std::size_t size = 0; size <= plain.size(); ++size)
        CHECK_FALSE(hasFoldedLine(plain, size));
    for (std::size_t size = 0; size <= byBlank.size(); ++size) {
        CHECK(hasFoldedLine(byBlank, size));
        CHECK(hasFoldedLine(byTab, size));
    }
}

// Guards against a body, or the answer before, that counts as a part of the head.
TEST_CASE("only the lines of the head in progress are looked at")
{
    constexpr std::string_view body = "a\r\n b";
    head_buffer buffer;
    const auto consume = [&] {
        buffer.commit(asio::buffer_copy(buffer.prepare(body.size()), asio::buffer(body)));
        buffer.consume(body.size());
    };
    consume();
    buffer.beginHead();
    CHECK_FALSE(buffer.endHead());
    consume();
    buffer.beginHead();
    consume();
    CHECK(buffer.endHead());
    buffer.beginHead();
    CHECK_FALSE(buffer.endHead());
}

// Guards against a head whose fields take many times the memory of its bytes.
TEST_CASE("a head is accounted for while it is read")
{
    constexpr std::string_view field = "a:\r\n";
    std::size_t held = 0;
    std::size_t limit = 1U << 20U;
    head_buffer buffer;
    buffer.setAccount([&](std::size_t bytes) {
        held = bytes;
        return bytes <= limit;
    });
    const auto readField = [&] {
        buffer.commit(asio::buffer_copy(buffer.prepare(field.size()), asio::buffer(field)));
        buffer.consume(field.size());
    };
    buffer.beginHead();
    for (int i = 0; i < 100; ++i)
        readField();
    buffer.endHead();
    CHECK(held > 100 * sizeof(std::string));
    CHECK_FALSE(buffer.isRefused());

    SUBCASE("a head that is refused stays so")
    {
        limit = held;
        buffer.beginHead();
        CHECK_THROWS_AS(
            [&] {
                while (true)
                    readField();
            }(),
            std::length_error);
        limit = 1U << 20U;
        CHECK(buffer.isRefused());
    }
    SUBCASE("the next one starts anew")
    {
        buffer.beginHead();
        readField();
        CHECK(held < 100 * sizeof(std::string));
    }
    SUBCASE("without an account everything is granted")
    {
        limit = 0;
        buffer.setAccount(nullptr);
        readField();
        CHECK_FALSE(buffer.isRefused());
    }
}

} // namespace azurehill::test
