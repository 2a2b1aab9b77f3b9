#pragma once

#include "core/enum_names.h"
#include "loopback.h"
#include "replicas/replica_entry.h"

#include <fmt/format.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <vector>

namespace azurehill::test {

/// \brief What a replica does to a marked request.
enum class disruption {
    /// It closes the connection before the answer.
    ClosesBeforeHead,
    /// It closes the connection inside the body.
    ClosesInsideBody,
    /// It no longer sends anything on any connection, before the answer.
    FallsSilentBeforeHead,
    /// Likewise, inside the body.
    FallsSilentInsideBody,
    /// It sends bytes that are no HTTP response.
    SendsGarbage,
    /// It sends the response to another request.
    SendsForeignAnswer,
    /// It sends a chunk whose size can't be read.
    SendsBrokenChunk,
    /// It sends one interim response after the other.
    SendsInterimHeads,
    /// It still works on the request when its client leaves.
    WorksOn,
    /// It closes the connection before the answer, and answers other requests for a while.
    ClosesAndLingers,
    /// It sends its answer bit by bit, and its entry is removed meanwhile.
    OutlivesEntry,
    /// It announces that it drains, and closes the connection long before its drain time is over.
    DrainsBeforeEnd
};

} // namespace azurehill::test

namespace azurehill {

template <>
struct enum_names<test::disruption>
{
    static constexpr std::array<std::string_view, 12> names
        = {"closes_before_head",       "closes_inside_body",  "falls_silent_before_head",
           "falls_silent_inside_body", "sends_garbage",       "sends_foreign_answer",
           "sends_broken_chunk",       "sends_interim_heads", "works_on",
           "closes_and_lingers",       "outlives_entry",      "drains_before_end"};
};

} // namespace azurehill

namespace azurehill::test {

/// \brief Replica that a marked request disrupts. It then ends, or lives on and serves all others.
///
/// A request whose path contains "marked" is disrupted. A path that begins with "/events" is
/// answered with a stream of events, any other one with a plain body. Requests for another replica
/// are answered with 421.
class ending_replica
{
public:
    ending_replica(asio::io_context &context, std::string id, disruption how, bool endsAfterwards)
        : m_acceptor(context, {asio::ip::address_v4::loopback(), 0}), m_how(how),
          m_endsAfterwards(endsAfterwards)
    {
        entry.incarnation.id = {std::move(id)};
        entry.service = "tools";
        entry.address = {"127.0.0.1", m_acceptor.local_endpoint().port()};
        entry.dataCentre = {"dc"};
        entry.slots = 8;
        spawn(context.get_executor(), "acceptAll", acceptAll());
    }

    bool hasEnded() const { return m_endedAt.has_value(); }
    /// \returns whether the entry of the replica, which ended, is no longer in the store.
    bool hasLapsed() const { return m_lapsesAt && runtime_clock::now() >= *m_lapsesAt; }

    replica_entry entry;
    /// Called when a marked request arrives.
    std::function<void()> onMarked;
    /// Time from the beginning of a marked request that is worked on to the end of the process.
    duration workTime = milliseconds(400);

private:
    using socket_ptr = std::shared_ptr<asio::ip::tcp::socket>;

    static constexpr duration lapseTime = milliseconds(3800);
    /// Time between the last bytes and the end of the process.
    static constexpr duration lastBytesTime = milliseconds(50);
    /// Time for which a replica that closed the connection goes on.
    static constexpr duration lingerTime = seconds(1);
    /// Time after which the entry of a replica that is not at its end is removed, and time between
    /// the bits of its answer.
    static constexpr duration earlyLapseTime = milliseconds(100);
    static constexpr duration bitInterval = milliseconds(50);
    static constexpr int bits = 20;
    /// Time for which a replica that drains serves on, and time between its announcement and its
    /// last bytes.
    static constexpr duration drainTime = seconds(2);
    static constexpr duration noticeTime = milliseconds(250);

    awaitable<void> acceptAll()
    {
        while (true) {
            auto socket = std::make_shared<asio::ip::tcp::socket>(m_acceptor.get_executor());
            boost::system::error_code code;
            co_await m_acceptor.async_accept(*socket, asio::redirect_error(use_awaitable, code));
            if (code)
                co_return;
            m_sockets.push_back(socket);
            spawn(m_acceptor.get_executor(), "serve", serve(socket));
        }
    }

    awaitable<void> serve(socket_ptr socket)
    {
        std::string buffer;
        while (true) {
            const std::string request = co_await readHead(socket, buffer);
            if (request.empty() || m_isDark)
                co_return;
            const bool isMarked
                = request.substr(0, request.find('\r')).find("marked") != request.npos;
            if (isMarked) {
                onMarked();
                co_await disrupt(socket, request);
                co_return;
            }
            std::string answer = answerTo(request);
            co_await write(socket, std::move(answer));
        }
    }

    awaitable<void> disrupt(socket_ptr socket, std::string request)
    {
        std::string bytes = bytesBeforeEnd(request);
        if (!bytes.empty())
            co_await write(socket, std::move(bytes));
        if (m_how == disruption::FallsSilentBeforeHead
            || m_how == disruption::FallsSilentInsideBody) {
            if (m_endsAfterwards)
                goDark();
            co_return;
        }
        if (m_how == disruption::WorksOn)
            co_await sleepFor(workTime);
        if (m_how == disruption::DrainsBeforeEnd) {
            entry.draining = true;
            entry.drainDeadline = runtime_clock::now() + drainTime;
            co_await sleepFor(noticeTime);
        }
        if (m_how == disruption::OutlivesEntry)
            co_await sendBits(socket, isStream(request));
        co_await sleepFor(lastBytesTime);
        boost::system::error_code ignored;
        socket->close(ignored);
        if (m_how == disruption::ClosesAndLingers)
            co_await sleepFor(lingerTime);
        if (m_endsAfterwards)
            end();
    }

    /// \brief Sends more and more of a body, whose end does not come. The entry is removed
    /// meanwhile if the replica is to end.
    awaitable<void> sendBits(socket_ptr socket, bool isOfStream)
    {
        if (m_endsAfterwards)
            m_lapsesAt = runtime_clock::now() + earlyLapseTime;
        for (int i = 0; i < bits; ++i) {
            co_await sleepFor(bitInterval);
            const std::string body
                = isOfStream ? fmt::format("id: {}\ndata: e\n\n", i + 2) : std::string("o");
            std::string chunk = fmt::format("{:x}\r\n{}\r\n", body.size(), body);
            co_await write(socket, std::move(chunk));
        }
    }

    /// \returns what the replica sends before it ends or breaks off.
    std::string bytesBeforeEnd(const std::string &request) const
    {
        constexpr int interimHeads = 100;
        std::string bytes;
        switch (m_how) {
        case disruption::ClosesBeforeHead:
        case disruption::FallsSilentBeforeHead:
        case disruption::WorksOn:
        case disruption::ClosesAndLingers:
        case disruption::DrainsBeforeEnd:
            break;
        case disruption::ClosesInsideBody:
        case disruption::FallsSilentInsideBody:
        case disruption::OutlivesEntry:
            return beginningOfAnswer(request);
        case disruption::SendsGarbage:
            return "these bytes are no answer\r\n\r\n";
        case disruption::SendsForeignAnswer:
            return goodAnswer("another");
        case disruption::SendsBrokenChunk:
            return beginningOfAnswer(request) + "no size\r\n";
        case disruption::SendsInterimHeads:
            for (int i = 0; i < interimHeads; ++i)
                bytes += "HTTP/1.1 102 Processing\r\n\r\n";
            break;
        }
        return bytes;
    }

    /// \brief Ends the process: its sockets are closed.
    void end()
    {
        setEnded();
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        for (const socket_ptr &socket : m_sockets)
            socket->close(ignored);
    }

    void setEnded()
    {
        if (m_endedAt)
            return;
        m_endedAt = runtime_clock::now();
        m_lapsesAt = m_lapsesAt.value_or(*m_endedAt + lapseTime);
    }

    /// \brief Cuts the power of the host: nothing is closed, and no connection is accepted.
    void goDark()
    {
        setEnded();
        m_isDark = true;
        boost::system::error_code ignored;
        m_acceptor.cancel(ignored);
        // The kernel drops connection requests while the queue of accepted connections is full.
        ::listen(m_acceptor.native_handle(), 0);
        for (int i = 0; i < 3; ++i) {
            auto filler = std::make_shared<asio::ip::tcp::socket>(m_acceptor.get_executor());
            filler->open(asio::ip::tcp::v4(), ignored);
            filler->native_non_blocking(true, ignored);
            // Asio's connect waits, whatever the mode of the socket.
            const auto address = m_acceptor.local_endpoint();
            ::connect(filler->native_handle(), address.data(), socklen_t(address.size()));
            m_sockets.push_back(filler);
        }
    }

    static bool isStream(const std::string &request)
    {
        return request.find(" /events") != std::string::npos;
    }

    std::string answerTo(const std::string &request) const
    {
        const std::string expected = fieldValue(request, "X-Azurehill-Expect-Instance: ");
        if (!expected.empty() && expected != entry.incarnation.id.value)
            return "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
        return goodAnswer(fieldValue(request, "X-Azurehill-Request-Id: "));
    }

    static std::string goodAnswer(const std::string &id)
    {
        return fmt::format("HTTP/1.1 200 OK\r\nX-Azurehill-Request-Id: {}\r\n"
                           "X-Azurehill-Server-Stamp: stamp\r\nContent-Length: 5\r\n\r\nwhole",
                           id);
    }

    static std::string beginningOfAnswer(const std::string &request)
    {
        const std::string body = isStream(request) ? "id: 1\ndata: e1\n\n" : "who";
        return fmt::format("HTTP/1.1 200 OK\r\nX-Azurehill-Request-Id: {}\r\n"
                           "X-Azurehill-Server-Stamp: stamp\r\nContent-Type: {}\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n",
                           fieldValue(request, "X-Azurehill-Request-Id: "),
                           isStream(request) ? "text/event-stream" : "text/plain", body.size(),
                           body);
    }

    static std::string fieldValue(const std::string &request, std::string_view field)
    {
        const std::size_t start = request.find(field);
        if (start == std::string::npos)
            return {};
        const std::size_t value = start + field.size();
        return request.substr(value, request.find('\r', value) - value);
    }

    static awaitable<void> write(socket_ptr socket, std::string bytes)
    {
        boost::system::error_code code;
        co_await asio::async_write(*socket, asio::buffer(bytes),
                                   asio::redirect_error(use_awaitable, code));
    }

    /// \returns the head of the next request, or an empty text at the end of the connection.
    static awaitable<std::string> readHead(socket_ptr socket, std::string &buffer)
    {
        constexpr std::string_view endOfHead = "\r\n\r\n";
        while (true) {
            const std::size_t end = buffer.find(endOfHead);
            if (end != std::string::npos) {
                std::string head = buffer.substr(0, end + endOfHead.size());
                buffer.erase(0, head.size());
                co_return head;
            }
            std::string piece(4096, '\0');
            boost::system::error_code code;
            const std::size_t n = co_await socket->async_read_some(
                asio::buffer(piece), asio::redirect_error(use_awaitable, code));
            if (code)
                co_return std::string();
            buffer.append(piece, 0, n);
        }
    }

    asio::ip::tcp::acceptor m_acceptor;
    disruption m_how;
    bool m_endsAfterwards;
    bool m_isDark = false;
    std::optional<time_point> m_endedAt;
    /// When the entry is removed.
    std::optional<time_point> m_lapsesAt;
    std::vector<socket_ptr> m_sockets;
};

} // namespace azurehill::test
