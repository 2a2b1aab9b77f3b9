#include "config/config_text.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace azurehill {

namespace json = boost::json;

namespace {

using config_errors = std::vector<config_error>;

/// \brief Reads the members of a JSON object and collects validation errors.
class object_reader
{
public:
    object_reader(const json::value &value, std::string path, config_errors &errors)
        : m_path(std::move(path)), m_errors(errors)
    {
        if (value.is_object())
            m_object = &value.get_object();
        else
            addError("", "must be an object");
    }

    /// \brief Reports every key that was not read as unknown.
    ~object_reader()
    {
        if (!m_object)
            return;
        for (const auto &[key, value] : *m_object) {
            if (std::find(m_readKeys.begin(), m_readKeys.end(), key) == m_readKeys.end())
                addError(key, "unknown key");
        }
    }
    object_reader(const object_reader &) = delete;
    object_reader &operator=(const object_reader &) = delete;

    template <class Integer>
    void integer(std::string_view key, Integer &into, std::int64_t minimum, std::int64_t maximum)
    {
        const json::value *v = member(key);
        if (!v)
            return;
        if (!v->is_int64() || v->get_int64() < minimum || v->get_int64() > maximum)
            addError(key, fmt::format("must be a whole number from {} to {}", minimum, maximum));
        else
            into = static_cast<Integer>(v->get_int64());
    }

    void milliseconds(std::string_view key, duration &into)
    {
        constexpr std::int64_t maxMs = 7LL * 24 * 3600 * 1000;
        std::int64_t ms = toMilliseconds(into);
        integer(key, ms, 1, maxMs);
        into = azurehill::milliseconds(ms);
    }

    void boolean(std::string_view key, bool &into)
    {
        const json::value *v = member(key);
        if (v && !v->is_bool())
            addError(key, "must be true or false");
        else if (v)
            into = v->get_bool();
    }

    void sha256(std::string_view key, std::string &into)
    {
        constexpr std::size_t digits = 64;
        const json::value *v = member(key);
        const auto isHex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
        if (!v || !v->is_string() || v->get_string().size() != digits
            || !std::all_of(v->get_string().begin(), v->get_string().end(), isHex))
            addError(key, "must be 64 lower-case hexadecimal digits");
        else
            into = std::string(v->get_string());
    }

    void strings(std::string_view key, std::vector<std::string> &into)
    {
        const json::value *v = member(key);
        if (!v)
            return;
        if (!v->is_array())
            return addError(key, "must be an array of strings");
        for (const json::value &item : v->get_array()) {
            if (!item.is_string())
                return addError(key, "must be an array of strings");
            into.emplace_back(item.get_string());
        }
    }

    template <class Enum>
    void enumValue(std::string_view key, Enum &into)
    {
        const json::value *v = member(key);
        const auto found = v && v->is_string()
            ? fromName<Enum>(std::string_view(v->get_string().data(), v->get_string().size()))
            : std::nullopt;
        if (found)
            into = *found;
        else
            addError(key,
                     fmt::format("must be one of {}", fmt::join(enum_names<Enum>::names, ", ")));
    }

    /// \brief Calls \p read for each member of the object at \p key.
    template <class Function>
    void forEachMember(std::string_view key, Function read)
    {
        const json::value *v = member(key);
        if (!v || !v->is_object())
            return addError(key, "must be an object");
        for (const auto &[name, value] : v->get_object())
            read(std::string(name), value, pathOf(key) + "/" + std::string(name));
    }

    void addError(std::string_view key, std::string reason)
    {
        m_errors.push_back({key.empty() ? m_path : pathOf(key), std::move(reason)});
    }

private:
    std::string pathOf(std::string_view key) const { return m_path + "/" + std::string(key); }

    const json::value *member(std::string_view key)
    {
        m_readKeys.emplace_back(key);
        return m_object ? m_object->if_contains(key) : nullptr;
    }

    const json::object *m_object = nullptr;
    std::string m_path;
    config_errors &m_errors;
    std::vector<std::string> m_readKeys;
};

constexpr std::int64_t maxTokens = std::numeric_limits<std::int64_t>::max() / 1024;

tenant readTenant(const json::value &v, const std::string &path, config_errors &errors)
{
    tenant t;
    object_reader in(v, path, errors);
    in.sha256("token_sha256", t.tokenSha256);
    in.integer("weight", t.weight, 1, 1000);
    in.integer("max_programs", t.maxPrograms, 0, 10'000'000);
    in.integer("max_budget_tokens", t.maxBudgetTokens, 1, maxTokens);
    return t;
}

program_class readClass(const json::value &v, const std::string &path, config_errors &errors)
{
    program_class c;
    object_reader in(v, path, errors);
    in.integer("weight", c.weight, 1, 1000);
    in.integer("max_turns", c.maxTurns, 1, 100'000);
    in.milliseconds("deadline_ms", c.deadline);
    in.milliseconds("idle_ms", c.idleTimeout);
    in.integer("budget_tokens", c.budgetTokens, 1, maxTokens);
    return c;
}

service readService(const json::value &v, const std::string &path, config_errors &errors)
{
    service s;
    object_reader in(v, path, errors);
    in.enumValue("kind", s.kind);
    in.strings("models", s.models);
    in.boolean("checks_fencing", s.checksFencing);
    in.milliseconds("call_limit_ms", s.callTimeout);
    in.milliseconds("silence_limit_ms", s.streamIdleTimeout);
    if (s.kind == service_kind::Engine && s.models.empty())
        in.addError("models", "an engine needs at least one model");
    return s;
}

preset readPreset(const json::value &v, const std::string &path, config_errors &errors)
{
    preset p;
    object_reader in(v, path, errors);
    in.integer("max_programs", p.maxPrograms, 0, 10'000'000);
    in.integer("tokens_in_flight_per_replica", p.tokensInFlightPerReplica, 1, maxTokens);
    in.integer("retry_percent", p.retryPercent, 0, 100);
    return p;
}

configuration readDocument(const json::value &document, config_errors &errors)
{
    configuration c;
    object_reader in(document, "", errors);
    std::int64_t format = 0;
    in.integer("format", format, 1, 1);
    if (format == 0)
        in.addError("format", "must be 1");
    in.forEachMember("tenants",
                     [&](const std::string &name, const json::value &v, const std::string &path) {
                         c.tenants.emplace(name, readTenant(v, path, errors));
                     });
    in.forEachMember("classes",
                     [&](const std::string &name, const json::value &v, const std::string &path) {
                         c.classes.emplace(name, readClass(v, path, errors));
                     });
    in.forEachMember("services",
                     [&](const std::string &name, const json::value &v, const std::string &path) {
                         c.services.emplace(name, readService(v, path, errors));
                     });
    in.forEachMember("presets",
                     [&](const std::string &name, const json::value &v, const std::string &path) {
                         if (const auto which = fromName<preset_name>(name))
                             c.presets.emplace(*which, readPreset(v, path, errors));
                         else
                             errors.push_back({path, "must be one of ordinary, peak, maintenance"});
                     });
    for (std::size_t i = 0; i < enum_names<preset_name>::names.size(); ++i) {
        if (!c.presets.count(static_cast<preset_name>(i)))
            in.addError("presets", fmt::format("{} is missing", enum_names<preset_name>::names[i]));
    }
    in.enumValue("active_preset", c.activePreset);
    return c;
}

} // namespace

tl::expected<configuration, std::vector<config_error>> parseConfiguration(std::string_view text)
{
    json::error_code code;
    const json::value document = json::parse(json::string_view(text.data(), text.size()), code);
    if (code)
        return tl::unexpected(config_errors{{"", "not JSON: " + code.message()}});
    config_errors errors;
    configuration c = readDocument(document, errors);
    if (!errors.empty())
        return tl::unexpected(std::move(errors));
    return c;
}

std::string toText(const configuration &c)
{
    json::object tenants;
    for (const auto &[name, t] : c.tenants) {
        tenants[name] = json::object{{"token_sha256", t.tokenSha256},
                                     {"weight", t.weight},
                                     {"max_programs", t.maxPrograms},
                                     {"max_budget_tokens", t.maxBudgetTokens}};
    }
    json::object classes;
    for (const auto &[name, k] : c.classes) {
        classes[name] = json::object{{"weight", k.weight},
                                     {"max_turns", k.maxTurns},
                                     {"deadline_ms", toMilliseconds(k.deadline)},
                                     {"idle_ms", toMilliseconds(k.idleTimeout)},
                                     {"budget_tokens", k.budgetTokens}};
    }
    json::object services;
    for (const auto &[name, s] : c.services) {
        services[name] = json::object{{"kind", toName(s.kind)},
                                      {"models", json::array(s.models.begin(), s.models.end())},
                                      {"checks_fencing", s.checksFencing},
                                      {"call_limit_ms", toMilliseconds(s.callTimeout)},
                                      {"silence_limit_ms", toMilliseconds(s.streamIdleTimeout)}};
    }
    json::object presets;
    for (const auto &[name, p] : c.presets) {
        presets[toName(name)]
            = json::object{{"max_programs", p.maxPrograms},
                           {"tokens_in_flight_per_replica", p.tokensInFlightPerReplica},
                           {"retry_percent", p.retryPercent}};
    }
    return json::serialize(json::object{{"format", 1},
                                        {"tenants", tenants},
                                        {"classes", classes},
                                        {"services", services},
                                        {"presets", presets},
                                        {"active_preset", toName(c.activePreset)}});
}

} // namespace azurehill
