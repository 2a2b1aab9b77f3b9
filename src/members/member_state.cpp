#include "members/member_state.h"

#include <boost/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace azurehill {

namespace json = boost::json;

namespace {

/// Key of the version, kept for compatibility with the rows of earlier releases.
constexpr std::string_view versionKey = "beat";

json::object encode(const member_state &m)
{
    json::object o;
    o["name"] = m.name.value;
    o["started"] = m.incarnation;
    o[versionKey] = m.version;
    o["clients"] = toText(m.clients);
    o["peers"] = toText(m.peers);
    o["gossip"] = toText(m.gossip);
    o["dc"] = m.dataCentre.value;
    o["serving"] = m.serving;
    o["store"] = m.storeReachable;
    if (m.cores > 0)
        o["cores"] = m.cores;
    return o;
}

endpoint addressIn(const json::object &o, std::string_view key)
{
    const auto address = parseEndpoint(std::string(o.at(key).as_string()));
    if (!address)
        throw std::runtime_error("not an address: " + std::string(key));
    return *address;
}

member_state decode(const json::object &o)
{
    member_state m;
    m.name = {std::string(o.at("name").as_string())};
    m.incarnation = o.at("started").to_number<std::int64_t>();
    m.version = o.at(versionKey).to_number<std::uint64_t>();
    m.clients = addressIn(o, "clients");
    m.peers = addressIn(o, "peers");
    m.gossip = addressIn(o, "gossip");
    m.dataCentre = {std::string(o.at("dc").as_string())};
    m.serving = o.at("serving").as_bool();
    m.storeReachable = o.at("store").as_bool();
    // Absent in rows of earlier releases.
    if (const json::value *cores = o.if_contains("cores"))
        m.cores = std::max(0.0, cores->to_number<double>());
    return m;
}

} // namespace

std::string encodeMembers(const std::vector<member_state> &states)
{
    json::array list;
    for (const member_state &m : states)
        list.push_back(encode(m));
    return json::serialize(list);
}

std::optional<std::vector<member_state>> decodeMembers(std::string_view text)
{
    try {
        std::vector<member_state> states;
        const json::value document = json::parse(text);
        for (const json::value &m : document.as_array())
            states.push_back(decode(m.as_object()));
        return states;
    } catch (const std::exception &) {
        // The caller counts the failure and logs the source of the text.
        return std::nullopt;
    }
}

} // namespace azurehill
