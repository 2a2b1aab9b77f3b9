#include "members/probe_message.h"

#include "rows/table_digest_json.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace azurehill {

namespace json = boost::json;

namespace {

/// Numbers in demand reports are encoded as integers, in hundredths.
constexpr double hundredths = 100;
/// Largest number in a demand report, in hundredths: far above the load that a daemon or a replica
/// can handle.
constexpr std::int64_t maxReportedHundredths = 10'000'000;

/// Indices of the fields of an encoded update. It is an array, since a message carries up to
/// thirty.
enum update_field : std::size_t {
    Name,
    Incarnation,
    Version,
    Health,
    Clients,
    Peers,
    Gossip,
    DataCentre,
    Serving,
    StoreReachable,
    RequiredFields,
    /// Absent in updates of earlier releases.
    Cores = RequiredFields
};

json::value encode(const concurrency_report &report)
{
    json::array numbers;
    for (const double number :
         {report.demand, report.inFlight, report.inflation, report.limitPerReplica})
        numbers.push_back(
            std::min<std::int64_t>(maxReportedHundredths, std::llround(hundredths * number)));
    return numbers;
}

json::value encode(const member_update &update)
{
    const member_state &m = update.state;
    return json::array{m.name.value,
                       m.incarnation,
                       m.version,
                       int(update.health),
                       toText(m.clients),
                       toText(m.peers),
                       toText(m.gossip),
                       m.dataCentre.value,
                       m.serving,
                       m.storeReachable,
                       std::llround(hundredths * m.cores)};
}

endpoint addressIn(const json::value &value)
{
    const auto address = parseEndpoint(std::string(value.as_string()));
    if (!address)
        throw std::runtime_error("not an address");
    return *address;
}

template <class Enum>
Enum enumIn(const json::value &value)
{
    const auto number = value.to_number<std::size_t>();
    if (number >= enum_names<Enum>::names.size())
        throw std::out_of_range("unknown enum value");
    return Enum(number);
}

/// \returns the number in \p value. \throws std::out_of_range if no daemon would report it.
double numberIn(const json::value &value)
{
    const auto number = value.to_number<std::int64_t>();
    if (number < 0 || number > maxReportedHundredths)
        throw std::out_of_range("number in a demand report out of range");
    return double(number) / hundredths;
}

concurrency_reports demandReportsIn(const json::object &o)
{
    concurrency_reports reports;
    for (const auto &[service, value] : o) {
        const concurrency_report report{numberIn(value.at(0)), numberIn(value.at(1)),
                                        numberIn(value.at(2)), numberIn(value.at(3))};
        reports.emplace(std::string(service), report);
    }
    return reports;
}

replica_reports replicaReportsIn(const json::object &o)
{
    if (o.size() > maxReplicaReports)
        throw std::out_of_range("too many replica reports");
    replica_reports reports;
    for (const auto &[id, value] : o)
        reports.emplace(upstream_id{std::string(id)}, enumIn<replica_report>(value));
    return reports;
}

member_update updateIn(const json::value &value)
{
    const json::array &a = value.as_array();
    if (a.size() < RequiredFields)
        throw std::out_of_range("member update truncated");
    member_update update;
    member_state &m = update.state;
    m.name = {std::string(a[Name].as_string())};
    m.incarnation = a[Incarnation].to_number<std::int64_t>();
    m.version = a[Version].to_number<std::uint64_t>();
    update.health = enumIn<member_health>(a[Health]);
    m.clients = addressIn(a[Clients]);
    m.peers = addressIn(a[Peers]);
    m.gossip = addressIn(a[Gossip]);
    m.dataCentre = {std::string(a[DataCentre].as_string())};
    m.serving = a[Serving].as_bool();
    m.storeReachable = a[StoreReachable].as_bool();
    if (a.size() > Cores)
        m.cores = numberIn(a[Cores]);
    return update;
}

probe_message messageIn(const json::object &o)
{
    probe_message m;
    m.kind = enumIn<probe_kind>(o.at("k"));
    m.sequence = o.at("q").to_number<std::uint64_t>();
    m.sender = {std::string(o.at("n").as_string())};
    m.incarnation = o.at("i").to_number<std::int64_t>();
    m.version = o.at("v").to_number<std::uint64_t>();
    m.requestsState = o.contains("a");
    if (const json::value *target = o.if_contains("t"))
        m.target = addressIn(*target);
    if (const json::value *reports = o.if_contains("w"))
        m.demandReports = demandReportsIn(reports->as_object());
    if (const json::value *reports = o.if_contains("f"))
        m.replicaReports = replicaReportsIn(reports->as_object());
    if (const json::value *replicas = o.if_contains("r"))
        m.replicas = digestFromJson(*replicas);
    if (const json::value *updates = o.if_contains("u")) {
        for (const json::value &update : updates->as_array())
            m.updates.push_back(updateIn(update));
    }
    return m;
}

} // namespace

std::string encodeProbe(const probe_message &message)
{
    json::object o;
    o["k"] = int(message.kind);
    o["q"] = message.sequence;
    o["n"] = message.sender.value;
    o["i"] = message.incarnation;
    o["v"] = message.version;
    if (message.requestsState)
        o["a"] = 1;
    if (message.target)
        o["t"] = toText(*message.target);
    if (!message.demandReports.empty()) {
        json::object reports;
        for (const auto &[service, report] : message.demandReports)
            reports[service] = encode(report);
        o["w"] = std::move(reports);
    }
    if (!message.replicaReports.empty()) {
        json::object reports;
        for (const auto &[id, report] : message.replicaReports)
            reports[id.value] = int(report);
        o["f"] = std::move(reports);
    }
    if (message.replicas)
        o["r"] = toJson(*message.replicas);
    if (!message.updates.empty()) {
        json::array updates;
        for (const member_update &update : message.updates)
            updates.push_back(encode(update));
        o["u"] = std::move(updates);
    }
    return json::serialize(o);
}

std::optional<probe_message> decodeProbe(std::string_view text)
{
    try {
        const json::value document = json::parse(text);
        return messageIn(document.as_object());
    } catch (const std::exception &) {
        // The caller counts the failure and logs the source of the text.
        return std::nullopt;
    }
}

} // namespace azurehill
