#include "members/probe_message.h"

#include "rows/table_digest_json.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace azurehill {

namespace json = boost::json;

namespace {

/// Words on places are told in hundredths, as whole numbers.
constexpr double hundredths = 100;
/// Largest number in a word on places, in hundredths: far above what a daemon or a replica bears.
constexpr std::int64_t maxReportedHundredths = 10'000'000;

/// Fields of an update, which is an array: thirty go in one message.
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
    UpdateFields
};

json::value encode(const concurrency_report &word)
{
    json::array numbers;
    for (const double number : {word.wanted, word.inside, word.inflation, word.perReplica})
        numbers.push_back(
            std::min<std::int64_t>(maxReportedHundredths, std::llround(hundredths * number)));
    return numbers;
}

json::value encode(const member_update &update)
{
    const member_state &m = update.state;
    return json::array{m.name.value,      m.incarnation,   m.version,        int(update.health),
                       toText(m.clients), toText(m.peers), toText(m.gossip), m.dataCentre.value,
                       m.serving,         m.storeReachable};
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
        throw std::out_of_range("not a known kind");
    return Enum(number);
}

/// \returns the number in \p value. \throws if no daemon tells it.
double numberIn(const json::value &value)
{
    const auto number = value.to_number<std::int64_t>();
    if (number < 0 || number > maxReportedHundredths)
        throw std::out_of_range("a word on places");
    return double(number) / hundredths;
}

concurrency_reports demandReportsIn(const json::object &o)
{
    concurrency_reports words;
    for (const auto &[service, value] : o) {
        const concurrency_report word{numberIn(value.at(0)), numberIn(value.at(1)),
                                      numberIn(value.at(2)), numberIn(value.at(3))};
        words.emplace(std::string(service), word);
    }
    return words;
}

replica_reports replicaReportsIn(const json::object &o)
{
    if (o.size() > maxReplicaReports)
        throw std::out_of_range("words on replicas");
    replica_reports words;
    for (const auto &[id, value] : o)
        words.emplace(upstream_id{std::string(id)}, enumIn<replica_report>(value));
    return words;
}

member_update updateIn(const json::value &value)
{
    const json::array &a = value.as_array();
    if (a.size() < UpdateFields)
        throw std::out_of_range("an update");
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
    if (const json::value *words = o.if_contains("w"))
        m.words = demandReportsIn(words->as_object());
    if (const json::value *words = o.if_contains("f"))
        m.replicaWords = replicaReportsIn(words->as_object());
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
    if (!message.words.empty()) {
        json::object words;
        for (const auto &[service, word] : message.words)
            words[service] = encode(word);
        o["w"] = std::move(words);
    }
    if (!message.replicaWords.empty()) {
        json::object words;
        for (const auto &[id, word] : message.replicaWords)
            words[id.value] = int(word);
        o["f"] = std::move(words);
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
        // The caller counts it and says where it came from.
        return std::nullopt;
    }
}

} // namespace azurehill
