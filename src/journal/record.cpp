#include "journal/record.h"

#include <boost/json.hpp>

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
            {"reserved", r.reservedTokens}};
}

json::object encodeRecord(const call_finished &r)
{
    return {{"type", "call_finished"}, {"program", r.program.value},
            {"turn", r.turn},          {"key", r.key},
            {"spent", r.spentTokens},  {"status", r.status},
            {"messages", r.messages},  {"reply", r.reply}};
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
                          number(o, "reserved")};
    }
    if (type == "call_finished") {
        return call_finished{program,
                             number(o, "turn"),
                             text(o, "key"),
                             number(o, "spent"),
                             static_cast<int>(number(o, "status")),
                             text(o, "messages"),
                             text(o, "reply")};
    }
    if (type == "call_failed") {
        return call_failed{program, number(o, "turn"), text(o, "key"),
                           enumerator<outcome>(o, "outcome"), number(o, "spent")};
    }
    if (type == "program_ended")
        return program_ended{program, enumerator<end_reason>(o, "reason")};
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
