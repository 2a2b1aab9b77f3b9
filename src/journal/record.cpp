#include "journal/record.h"

#include <boost/json.hpp>
#include <openssl/evp.h>

#include <algorithm>

namespace azurehill {

namespace json = boost::json;

namespace {

std::string text(const json::object &o, std::string_view key)
{
    return std::string(o.at(key).as_string());
}

std::int64_t number(const json::object &o, std::string_view key)
{
    return o.at(key).to_number<std::int64_t>();
}

template <class Enum>
Enum enumerator(const json::object &o, std::string_view key)
{
    const auto found = fromName<Enum>(text(o, key));
    if (!found)
        throw std::runtime_error("unknown value of " + std::string(key));
    return *found;
}

json::object encodeRecord(const program_created &r)
{
    return {{"type", "program_created"},       {"program", r.program.value},
            {"parent", r.parent.value},        {"tenant", r.tenant.value},
            {"class", r.programClass},         {"budget", r.budgetTokens},
            {"deadline_ms", r.deadlineUnixMs}, {"created_ms", r.createdUnixMs},
            {"max_turns", r.maxTurns},         {"idle_ms", r.idleMs}};
}

json::object encodeRecord(const call_begun &r)
{
    return {{"type", "call_begun"},
            {"program", r.program.value},
            {"turn", r.turn},
            {"key", r.key},
            {"kind", toName(r.kind)},
            {"idempotent", r.idempotent},
            {"reserved", r.reservedTokens},
            {"engine", r.engine.value}};
}

/// \returns whether \p text may stand in JSON. A tool may answer with any bytes, such as a PDF; a
/// row with broken UTF-8 could not be read back, and its program would be lost to its next owner.
bool isUtf8(const std::string &text)
{
    json::error_code code;
    json::parse(json::serialize(json::string(text)), code);
    return !code;
}

std::string toBase64(const std::string &bytes)
{
    std::string encoded((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(encoded.data()),
                                  reinterpret_cast<const unsigned char *>(bytes.data()),
                                  static_cast<int>(bytes.size()));
    encoded.resize(static_cast<std::size_t>(n));
    return encoded;
}

std::string fromBase64(const std::string &encoded)
{
    std::string bytes(encoded.size() / 4 * 3, '\0');
    const int n = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                  reinterpret_cast<const unsigned char *>(encoded.data()),
                                  static_cast<int>(encoded.size()));
    if (n < 0)
        throw std::runtime_error("reply is not base64");
    // The decoder counts the bytes that padding stands for.
    const auto padding = static_cast<std::size_t>(std::count(
        encoded.end() - std::min<std::ptrdiff_t>(2, std::ssize(encoded)), encoded.end(), '='));
    bytes.resize(static_cast<std::size_t>(n) - padding);
    return bytes;
}

std::string decodeReply(const json::object &o)
{
    return o.contains("reply_base64") ? fromBase64(text(o, "reply_base64")) : text(o, "reply");
}

json::object encodeRecord(const call_finished &r)
{
    const bool plain = isUtf8(r.reply);
    return {{"type", "call_finished"},
            {"program", r.program.value},
            {"turn", r.turn},
            {"key", r.key},
            {"spent", r.spentTokens},
            {"status", r.status},
            {"messages", r.messages},
            {plain ? "reply" : "reply_base64", plain ? r.reply : toBase64(r.reply)},
            {"content_type", r.contentType},
            {"engine", r.engine.value}};
}

json::object encodeRecord(const call_failed &r)
{
    return {{"type", "call_failed"}, {"program", r.program.value}, {"turn", r.turn},
            {"key", r.key},          {"outcome", toName(r.ran)},   {"spent", r.spentTokens}};
}

json::object encodeRecord(const program_ended &r)
{
    return {{"type", "program_ended"}, {"program", r.program.value}, {"reason", toName(r.reason)}};
}

json::object encodeRecord(const program_released &r)
{
    return {{"type", "program_released"}, {"program", r.program.value}, {"engine", r.engine.value}};
}

journal_record decodeRecord(const json::object &o)
{
    const std::string type = text(o, "type");
    const program_id program{text(o, "program")};
    if (type == "program_created") {
        return program_created{program,
                               {text(o, "parent")},
                               {text(o, "tenant")},
                               text(o, "class"),
                               number(o, "budget"),
                               number(o, "deadline_ms"),
                               number(o, "created_ms"),
                               number(o, "max_turns"),
                               number(o, "idle_ms")};
    }
    if (type == "call_begun") {
        return call_begun{program,
                          number(o, "turn"),
                          text(o, "key"),
                          enumerator<call_kind>(o, "kind"),
                          o.at("idempotent").as_bool(),
                          number(o, "reserved"),
                          {text(o, "engine")}};
    }
    if (type == "call_finished") {
        return call_finished{program,
                             number(o, "turn"),
                             text(o, "key"),
                             number(o, "spent"),
                             static_cast<int>(number(o, "status")),
                             text(o, "messages"),
                             decodeReply(o),
                             text(o, "content_type"),
                             {text(o, "engine")}};
    }
    if (type == "call_failed") {
        return call_failed{program, number(o, "turn"), text(o, "key"),
                           enumerator<outcome>(o, "outcome"), number(o, "spent")};
    }
    if (type == "program_ended")
        return program_ended{program, enumerator<end_reason>(o, "reason")};
    if (type == "program_released")
        return program_released{program, {text(o, "engine")}};
    throw std::runtime_error("unknown record type " + type);
}

} // namespace

const program_id &programOf(const journal_record &record)
{
    return std::visit([](const auto &r) -> const program_id & { return r.program; }, record);
}

json::value toJson(const journal_record &record)
{
    return std::visit([](const auto &r) { return json::value(encodeRecord(r)); }, record);
}

tl::expected<journal_record, std::string> recordFromJson(const json::value &value)
{
    try {
        return decodeRecord(value.as_object());
    } catch (const std::exception &e) {
        return tl::unexpected(std::string(e.what()));
    }
}

} // namespace azurehill
