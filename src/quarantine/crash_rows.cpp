#include "quarantine/crash_rows.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace azurehill::crash_rows {

namespace json = boost::json;

namespace {

constexpr std::string_view table = "crashes";
constexpr char separator = '/';
/// The character after the separator, which no key contains.
constexpr char afterSeparator = separator + 1;
constexpr int sendDigits = 16;

std::uint64_t parseSend(std::string_view text)
{
    std::uint64_t send = 0;
    const char *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, send, 16);
    if (text.size() != sendDigits || parsed.ec != std::errc() || parsed.ptr != end)
        throw std::invalid_argument("not a send");
    return send;
}

duration parseTime(const json::value &value)
{
    const std::int64_t maxTime = toMilliseconds(crash_ledger::lifetime);
    return milliseconds(std::clamp<std::int64_t>(value.to_number<std::int64_t>(), 0, maxTime));
}

replica_fate parseFate(const json::value &value)
{
    const json::string &name = value.as_string();
    const auto fate = fromName<replica_fate>(std::string_view(name.data(), name.size()));
    if (!fate)
        throw std::invalid_argument("not a fate");
    return *fate;
}

crash_report parse(const stored_row &row)
{
    const std::string_view key = row.name.key;
    const std::size_t split = std::min(key.find(separator), key.size());
    const auto request = parseFingerprint(key.substr(0, split));
    if (!request || split == key.size() || !row.isReadable)
        throw std::invalid_argument("not the row of a lost send");
    const json::value parsed = json::parse(row.value);
    const json::array &fields = parsed.as_array();
    crash_report report;
    report.request = *request;
    report.evidence.push_back({fields.at(0).to_number<std::uint64_t>(),
                               parseSend(key.substr(split + 1)), parseFate(fields.at(1))});
    report.workLeft = parseTime(fields.at(2));
    report.endLeft = parseTime(fields.at(3));
    return report;
}

} // namespace

row_range all()
{
    return {std::string(table), "", "", ""};
}

row_range ofRequest(const request_fingerprint &request)
{
    const std::string prefix = toText(request);
    return {std::string(table), "", prefix + separator, prefix + afterSeparator};
}

row_name nameOf(const request_fingerprint &request, std::uint64_t send)
{
    return {std::string(table), "",
            fmt::format("{}{}{:0{}x}", toText(request), separator, send, sendDigits)};
}

row_value encode(const crash_report &report, const crash_evidence &evidence)
{
    const json::array fields{evidence.replica, toName(evidence.fate),
                             toMilliseconds(report.workLeft), toMilliseconds(report.endLeft)};
    return {nameOf(report.request, evidence.send), json::serialize(fields)};
}

std::optional<crash_report> decode(const stored_row &row)
{
    try {
        return parse(row);
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace azurehill::crash_rows
