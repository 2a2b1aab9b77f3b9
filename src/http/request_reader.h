#pragma once

#include "http/http_server.h"
#include "http/timed_socket.h"
#include "limits/limits.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace azurehill {

/// \brief Result of reading a request. PeerClosed means that the connection was lost, so that no
/// response can be sent.
enum class read_result {
    Complete,
    PeerClosed,
    Malformed,
    /// A chunk line or the trailer is longer than a header may be.
    LineTooLarge,
    RequestTimeout,
    /// The process holds too much for its connections.
    NoMemory
};

/// \brief Reads one request from a connection within the limits of its server.
///
/// What has been read is accounted for as it comes. A head is parsed once it is complete, so that
/// an unfinished one costs its bytes and not its fields; no more than the limit of a header is kept
/// unparsed at any time.
class request_reader
{
public:
    using message = boost::beast::http::request<boost::beast::http::string_body>;

    /// \param buffer bytes received after the previous request; receives those after this one.
    /// \param holder account of the connection.
    request_reader(timed_socket &socket, boost::beast::flat_buffer &buffer,
                   const http_limits &limits, memory_account::holder &holder);

    awaitable<read_result> read();

    /// \returns what made the request malformed.
    boost::beast::error_code error() const { return m_error; }
    /// \returns what the request makes the process hold.
    const connection_cost &cost() const { return m_cost; }
    /// \returns the request, after read() has returned Complete. Fields of a trailer are dropped:
    /// they would be taken for header fields, which have been validated.
    http_request takeRequest();
    /// \returns whether the client understands chunks.
    bool knowsChunks() const;
    bool keepsAlive() const;
    bool isHeadRequest() const;

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// \brief Parses what is in the buffer, as far as it is complete.
    /// \returns the result, or nothing if more bytes are needed.
    std::optional<read_result> parseBuffer();
    std::size_t nextReadSize() const;
    /// \returns whether the buffer has a complete head, or one that is malformed or too large, so
    /// that it is for the parser to decide.
    bool isHeadDecidable();
    /// \returns whether the request line in the buffer, if it is complete, is well-formed.
    bool isRequestLineValid();
    void parseSome();
    std::optional<read_result> onHeadParsed();
    /// \returns whether the process may hold what has been read.
    bool account();
    awaitable<void> sendContinue();

    timed_socket &m_socket;
    boost::beast::flat_buffer &m_buffer;
    const http_limits &m_limits;
    memory_account::holder &m_holder;
    parser m_parser;
    boost::beast::error_code m_error;
    connection_cost m_cost;
    /// Bytes of the buffer that have been searched for the end of the head.
    std::size_t m_searchedBytes = 0;
    bool m_isRequestLineChecked = false;
    bool m_isContinueDue = false;
    std::size_t m_fieldCount = 0;
};

} // namespace azurehill
