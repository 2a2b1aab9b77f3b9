#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <vector>

namespace azurehill::test {

/// \brief A head that no final response may have, beside fields that make it look like one.
struct invalid_head
{
    std::string name;
    std::string statusLine = "HTTP/1.1 200 OK";
    std::string field = "X-More: more";
};

inline invalid_head withStatus(const std::string &status)
{
    return {"status " + status, fmt::format("HTTP/1.1 {} X", status)};
}
inline invalid_head withField(std::string name, std::string field)
{
    return {std::move(name), "HTTP/1.1 200 OK", std::move(field)};
}

inline std::vector<invalid_head> invalidHeads()
{
    using namespace std::string_literals;
    return {
        withStatus("000"),
        withStatus("001"),
        withStatus("099"),
        withStatus("600"),
        withStatus("999"),
        withStatus("20"),
        withStatus("2000"),
        withStatus("-20"),
        withStatus("2x0"),
        {"an upgrade that nobody asked for", "HTTP/1.1 101 Switching Protocols",
         "Connection: upgrade\r\nUpgrade: websocket"},
        {"a major version below", "HTTP/0.9 200 OK"},
        {"a major version above", "HTTP/2.0 200 OK"},
        {"another protocol", "ICY 200 OK"},
        {"a control byte in the reason", "HTTP/1.1 200 O\x01K"},
        withField("a blank in a name", "X More: more"),
        withField("a blank before the colon", "X-More : more"),
        withField("a tab before the colon", "X-More\t: more"),
        withField("a blank before a name", " X-More: more"),
        withField("a blank before the name of the length", " Content-Length: 1"),
        withField("a tab before the name of the coding", "\tTransfer-Encoding: chunked"),
        withField("a control byte in a name", "X-\x01More: more"),
        withField("a zero in a name", "X-\0More: more"s),
        withField("a delete in a name", "X-\x7fMore: more"),
        withField("a byte over 127 in a name", "X-\xc3\xa4More: more"),
        withField("a separator in a name", "X(More): more"),
        withField("no name", ": more"),
        withField("no colon", "X-More"),
        withField("a blank in the name of the length", "Content Length: 1"),
        withField("a blank behind the name of the length", "Content-Length : 1"),
        withField("a control byte behind the name of the length", "Content-Length\x02: 1"),
        withField("a blank behind the name of the coding", "Transfer-Encoding : chunked"),
        withField("a control byte in a value", "X-More: mo\x01re"),
        withField("a zero in a value", "X-More: mo\0re"s),
        withField("a CR in a value", "X-More: mo\rre"),
        withField("a LF in a value", "X-More: mo\nre"),
        withField("two lengths", "Content-Length: 5\r\nContent-Length: 6"),
        withField("a negative length", "Content-Length: -1"),
        withField("a length that is no number", "Content-Length: 1x"),
        withField("a length beyond all numbers", "Content-Length: 99999999999999999999999"),
        withField("a length and chunks", "Content-Length: 5\r\nTransfer-Encoding: chunked"),
        withField("an unknown coding", "Transfer-Encoding: gzip"),
        withField("chunks twice", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"),
    };
}

/// \returns a response with \p head, whose other fields are those of a replica's success.
inline std::string responseWith(const invalid_head &head, std::string_view contentType,
                                std::string_view body)
{
    return fmt::format("{}\r\nX-Azurehill-Request-Id: ID\r\nX-Azurehill-Server-Stamp: stamp\r\n"
                       "X-Azurehill-Instance-Id: i-a\r\nContent-Type: {}\r\n{}\r\n\r\n{}<close>",
                       head.statusLine, contentType, head.field, body);
}
inline std::string plainResponse(const invalid_head &head)
{
    return responseWith(head, "text/plain", "whole");
}

/// \brief Heads that are told apart by their parsed fields, one of each kind, for readers that
/// share the parser with all others.
inline std::vector<invalid_head> parsedHeads()
{
    std::vector<invalid_head> heads;
    for (const invalid_head &head : invalidHeads()) {
        for (const char *name : {"status 000", "status 999", "an upgrade that nobody asked for",
                                 "a major version above", "a blank in a name"}) {
            if (head.name == name)
                heads.push_back(head);
        }
    }
    return heads;
}

} // namespace azurehill::test
