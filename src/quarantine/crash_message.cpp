#include "quarantine/crash_message.h"

#include <boost/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace azurehill {

namespace json = boost::json;

namespace {

/// \brief Message kinds, in the order of the alternatives of \c crash_message. The numbers are part
/// of the wire format.
enum class message_kind { Notice, Acknowledgement, Query };

json::array encodeInFlight(const std::vector<send_in_flight> &sends)
{
    json::array list;
    for (const send_in_flight &pending : sends)
        list.push_back(json::array{pending.replica, pending.send, toMilliseconds(pending.left)});
    return list;
}

json::array encodeReports(const std::vector<crash_report> &reports)
{
    json::array list;
    for (const crash_report &report : reports) {
        json::array evidence;
        for (const crash_evidence &e : report.evidence)
            evidence.push_back(json::array{e.replica, e.send, static_cast<int>(e.fate)});
        json::array item{toText(report.request), toMilliseconds(report.age), std::move(evidence),
                         toMilliseconds(report.workLeft), toMilliseconds(report.endLeft)};
        if (!report.inFlight.empty())
            item.push_back(encodeInFlight(report.inFlight));
        list.push_back(std::move(item));
    }
    return list;
}

struct message_writer
{
    json::array operator()(const crash_notice &m) const
    {
        return {static_cast<int>(message_kind::Notice), m.number, encodeReports(m.reports)};
    }
    json::array operator()(const crash_acknowledgement &m) const
    {
        return {static_cast<int>(message_kind::Acknowledgement), m.number,
                encodeReports(m.reports)};
    }
    json::array operator()(const crash_query &) const
    {
        return {static_cast<int>(message_kind::Query)};
    }
};

crash_evidence decodeEvidence(const json::array &a)
{
    const int fate = a.at(2).to_number<int>();
    if (fate < 0 || fate >= static_cast<int>(enum_names<replica_fate>::names.size()))
        throw std::out_of_range("no such fate");
    return {a.at(0).to_number<std::uint64_t>(), a.at(1).to_number<std::uint64_t>(),
            static_cast<replica_fate>(fate)};
}

/// \returns the time in \p value, in milliseconds and clamped to what a ledger keeps.
duration decodeTime(const json::value &value)
{
    const std::int64_t maxTime = toMilliseconds(crash_ledger::lifetime);
    return milliseconds(std::clamp<std::int64_t>(value.to_number<std::int64_t>(), 0, maxTime));
}

send_in_flight decodeInFlight(const json::array &a)
{
    return {a.at(0).to_number<std::uint64_t>(), a.at(1).to_number<std::uint64_t>(),
            decodeTime(a.at(2))};
}

crash_report decodeReport(const json::array &a)
{
    const json::string &text = a.at(0).as_string();
    const auto request = parseFingerprint(std::string_view(text.data(), text.size()));
    const json::array &evidence = a.at(2).as_array();
    if (!request || evidence.size() > crash_ledger::maxEvidence)
        throw std::out_of_range("not a report");
    crash_report report;
    report.request = *request;
    report.age = decodeTime(a.at(1));
    // Daemons of earlier versions don't send these times.
    if (a.size() > 3)
        report.workLeft = decodeTime(a.at(3));
    if (a.size() > 4)
        report.endLeft = decodeTime(a.at(4));
    for (const json::value &e : evidence)
        report.evidence.push_back(decodeEvidence(e.as_array()));
    if (a.size() > 5) {
        const json::array &sends = a.at(5).as_array();
        if (sends.size() > crash_ledger::maxEvidence)
            throw std::out_of_range("too many sends");
        for (const json::value &pending : sends)
            report.inFlight.push_back(decodeInFlight(pending.as_array()));
    }
    return report;
}

std::vector<crash_report> decodeReports(const json::array &a)
{
    if (a.size() > maxReportsPerMessage)
        throw std::out_of_range("too many reports");
    std::vector<crash_report> reports;
    for (const json::value &report : a)
        reports.push_back(decodeReport(report.as_array()));
    return reports;
}

crash_message decode(const json::array &a)
{
    const auto kind = static_cast<message_kind>(a.at(0).to_number<int>());
    if (kind == message_kind::Query)
        return crash_query();
    const std::uint64_t number = a.at(1).to_number<std::uint64_t>();
    std::vector<crash_report> reports = decodeReports(a.at(2).as_array());
    if (kind == message_kind::Notice)
        return crash_notice{number, std::move(reports)};
    if (kind == message_kind::Acknowledgement)
        return crash_acknowledgement{number, std::move(reports)};
    throw std::out_of_range("no such kind of message");
}

} // namespace

std::string encodeCrashMessage(const crash_message &message)
{
    return json::serialize(std::visit(message_writer(), message));
}

std::optional<crash_message> decodeCrashMessage(std::string_view text)
{
    try {
        return decode(json::parse(text).as_array());
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace azurehill
