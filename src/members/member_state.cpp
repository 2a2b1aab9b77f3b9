#include "members/member_state.h"

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
constexpr std::int64_t mostInWord = 10'000'000;

json::value encode(const place_word &word)
{
    json::array numbers;
    for (const double number : {word.wanted, word.inside, word.inflation, word.perReplica})
        numbers.push_back(std::min<std::int64_t>(mostInWord, std::llround(hundredths * number)));
    return numbers;
}

json::object encode(const member_state &m)
{
    json::object o;
    o["name"] = m.name.value;
    o["started"] = m.incarnation;
    o["beat"] = m.beat;
    o["clients"] = toText(m.clients);
    o["peers"] = toText(m.peers);
    o["gossip"] = toText(m.gossip);
    o["dc"] = m.dataCentre.value;
    o["serving"] = m.serving;
    o["store"] = m.storeReachable;
    o["config"] = m.configVersion;
    json::object places;
    for (const auto &[service, word] : m.placeWords)
        places[service] = encode(word);
    o["places"] = std::move(places);
    return o;
}

endpoint addressIn(const json::object &o, std::string_view key)
{
    const auto address = parseEndpoint(std::string(o.at(key).as_string()));
    if (!address)
        throw std::runtime_error("not an address: " + std::string(key));
    return *address;
}

/// \returns the number in \p value. \throws if no daemon tells it.
double numberIn(const json::value &value)
{
    const auto number = value.to_number<std::int64_t>();
    if (number < 0 || number > mostInWord)
        throw std::out_of_range("a word on places");
    return double(number) / hundredths;
}

/// \returns the words on places in \p o. A daemon of an older release tells none.
place_words placeWordsIn(const json::object &o)
{
    place_words words;
    const json::value *const places = o.if_contains("places");
    if (!places)
        return words;
    for (const auto &[service, value] : places->as_object()) {
        const place_word word{numberIn(value.at(0)), numberIn(value.at(1)), numberIn(value.at(2)),
                              numberIn(value.at(3))};
        words.emplace(std::string(service), word);
    }
    return words;
}

member_state decode(const json::object &o)
{
    member_state m;
    m.name = {std::string(o.at("name").as_string())};
    m.incarnation = o.at("started").to_number<std::int64_t>();
    m.beat = o.at("beat").to_number<std::uint64_t>();
    m.clients = addressIn(o, "clients");
    m.peers = addressIn(o, "peers");
    m.gossip = addressIn(o, "gossip");
    m.dataCentre = {std::string(o.at("dc").as_string())};
    m.serving = o.at("serving").as_bool();
    m.storeReachable = o.at("store").as_bool();
    m.configVersion = o.at("config").to_number<std::uint64_t>();
    m.placeWords = placeWordsIn(o);
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

std::optional<std::vector<member_state>> decodeMembers(std::string_view message)
{
    try {
        std::vector<member_state> states;
        const json::value document = json::parse(message);
        for (const json::value &m : document.as_array())
            states.push_back(decode(m.as_object()));
        return states;
    } catch (const std::exception &) {
        // The caller counts it and says where it came from.
        return std::nullopt;
    }
}

} // namespace azurehill
