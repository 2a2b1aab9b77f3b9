#include "config/config_document.h"

#include "config/config_text.h"

#include <boost/json.hpp>

#include <stdexcept>

namespace azurehill {

namespace json = boost::json;

namespace {

json::object toJson(const config_version &v)
{
    return {{"version", v.number},         {"id", v.id},
            {"author", v.author},          {"accepted_ms", v.acceptedMs},
            {"activate_ms", v.activateMs}, {"config", json::parse(toText(*v.config))}};
}

json::object toJson(const config_document &d)
{
    json::object o = toJson(d.head);
    json::array before;
    for (const config_version &v : d.before)
        before.push_back(toJson(v));
    o["before"] = std::move(before);
    return o;
}

config_version versionOf(const json::value &v)
{
    config_version result;
    result.number = v.at("version").to_number<config_number>();
    result.id = std::string(v.at("id").as_string());
    result.author = std::string(v.at("author").as_string());
    result.acceptedMs = v.at("accepted_ms").to_number<std::int64_t>();
    result.activateMs = v.at("activate_ms").to_number<std::int64_t>();
    auto config = parseConfiguration(json::serialize(v.at("config")));
    if (!config)
        throw std::runtime_error(config.error().front().path + ": "
                                 + config.error().front().reason);
    result.config = std::make_shared<const configuration>(std::move(*config));
    return result;
}

config_document documentFromJson(const json::value &v)
{
    config_document d;
    d.head = versionOf(v);
    for (const json::value &b : v.at("before").as_array())
        d.before.push_back(versionOf(b));
    return d;
}

peer_config_response peerResponseFromJson(const json::value &v)
{
    peer_config_response p;
    p.document = documentFromJson(v.at("document"));
    const json::object &o = v.as_object();
    if (const json::value *age = o.if_contains("confirmed_age_ms"))
        p.confirmedAge = milliseconds(age->to_number<std::int64_t>());
    if (const json::value *now = o.if_contains("now_ms"))
        p.nowMs = now->to_number<std::int64_t>();
    p.error = milliseconds(o.at("error_ms").to_number<std::int64_t>());
    return p;
}

/// \brief Reads \p text by \p convert; whatever is wrong with it is one fault, since only daemons
/// write these texts.
template <class Function>
auto parsed(std::string_view text, Function convert)
    -> tl::expected<decltype(convert(json::value())), config_error>
{
    try {
        return convert(json::parse(json::string_view(text.data(), text.size())));
    } catch (const std::exception &e) {
        return tl::unexpected(config_error{"", e.what()});
    }
}

} // namespace

std::string toText(const config_version &v)
{
    return json::serialize(toJson(v));
}

std::string toText(const config_document &d)
{
    return json::serialize(toJson(d));
}

std::string toText(const peer_config_response &p)
{
    json::object o{{"document", toJson(p.document)}};
    // Rounded up: an age or an error may only be told larger than it is.
    if (p.confirmedAge)
        o["confirmed_age_ms"] = toMilliseconds(*p.confirmedAge) + 1;
    if (p.nowMs)
        o["now_ms"] = *p.nowMs;
    o["error_ms"] = toMilliseconds(p.error) + 1;
    return json::serialize(o);
}

tl::expected<config_version, config_error> parseConfigVersion(std::string_view text)
{
    return parsed(text, versionOf);
}

tl::expected<config_document, config_error> parseConfigDocument(std::string_view text)
{
    return parsed(text, documentFromJson);
}

tl::expected<peer_config_response, config_error> parsePeerConfigResponse(std::string_view text)
{
    return parsed(text, peerResponseFromJson);
}

} // namespace azurehill
