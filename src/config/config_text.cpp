#include "config/config_text.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace azurehill {

namespace json = boost::json;

namespace {

using faults = std::vector<config_error>;

/// \brief Reads the members of one JSON object, gathering faults.
class object_reader
{
public:
    object_reader(const json::value &value, std::string path, faults &found)
        : m_path(std::move(path)), m_faults(found)
    {
        if (value.is_object())
            m_object = &value.get_object();
        else
            fault("", "must be an object");
    }

    /// \brief Reports every key that was not read.
    ~object_reader()
    {
        if (!m_object)
            return;
        for (const auto &[key, value] : *m_object) {
            if (std::find(m_known.begin(), m_known.end(), key) == m_known.end())
                fault(key, "unknown key");
        }
    }
    object_reader(const object_reader &) = delete;
    object_reader &operator=(const object_reader &) = delete;

    template <class Integer>
    void integer(std::string_view key, Integer &into, std::int64_t least, std::int64_t most)
    {
        const json::value *v = member(key);
        if (!v)
            return;
        if (!v->is_int64() || v->get_int64() < least || v->get_int64() > most)
            fault(key, fmt::format("must be a whole number from {} to {}", least, most));
        else
            into = static_cast<Integer>(v->get_int64());
    }

    void milliseconds(std::string_view key, duration &into)
    {
        constexpr std::int64_t longest = 7LL * 24 * 3600 * 1000;
        std::int64_t ms = toMilliseconds(into);
        integer(key, ms, 1, longest);
        into = azurehill::milliseconds(ms);
    }

    void boolean(std::string_view key, bool &into)
    {
        const json::value *v = member(key);
        if (v && !v->is_bool())
            fault(key, "must be true or false");
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
            fault(key, "must be 64 lower-case hexadecimal digits");
        else
            into = std::string(v->get_string());
    }

    void strings(std::string_view key, std::vector<std::string> &into)
    {
        const json::value *v = member(key);
        if (!v)
            return;
        if (!v->is_array())
            return fault(key, "must be an array of strings");
        for (const json::value &item : v->get_array()) {
            if (!item.is_string())
                return fault(key, "must be an array of strings");
            into.emplace_back(item.get_string());
        }
    }

    template <class Enum>
    void name(std::string_view key, Enum &into)
    {
        const json::value *v = member(key);
        const auto found = v && v->is_string()
            ? fromName<Enum>(std::string_view(v->get_string().data(), v->get_string().size()))
            : std::nullopt;
        if (found)
            into = *found;
        else
            fault(key, fmt::format("must be one of {}", fmt::join(enum_names<Enum>::names, ", ")));
    }

    /// \brief Calls \p read for each member of the object at \p key.
    template <class Function>
    void each(std::string_view key, Function read)
    {
        const json::value *v = member(key);
        if (!v || !v->is_object())
            return fault(key, "must be an object");
        for (const auto &[name, value] : v->get_object())
            read(std::string(name), value, pathOf(key) + "/" + std::string(name));
    }

    void fault(std::string_view key, std::string reason)
    {
        m_faults.push_back({key.empty() ? m_path : pathOf(key), std::move(reason)});
    }

private:
    std::string pathOf(std::string_view key) const { return m_path + "/" + std::string(key); }

    const json::value *member(std::string_view key)
    {
        m_known.emplace_back(key);
        return m_object ? m_object->if_contains(key) : nullptr;
    }

    const json::object *m_object = nullptr;
    std::string m_path;
    faults &m_faults;
    std::vector<std::string> m_known;
};

constexpr std::int64_t maxTokens = std::numeric_limits<std::int64_t>::max() / 1024;

tenant readTenant(const json::value &v, const std::string &path, faults &found)
{
    tenant t;
    object_reader in(v, path, found);
    in.sha256("token_sha256", t.tokenSha256);
    in.integer("weight", t.weight, 1, 1000);
    in.integer("max_programs", t.maxPrograms, 0, 10'000'000);
    in.integer("max_budget_tokens", t.maxBudgetTokens, 1, maxTokens);
    return t;
}

program_class readClass(const json::value &v, const std::string &path, faults &found)
{
    program_class c;
    object_reader in(v, path, found);
    in.integer("weight", c.weight, 1, 1000);
    in.integer("max_turns", c.maxTurns, 1, 100'000);
    in.milliseconds("deadline_ms", c.deadline);
    in.milliseconds("idle_ms", c.idle);
    in.integer("budget_tokens", c.budgetTokens, 1, maxTokens);
    return c;
}

service readService(const json::value &v, const std::string &path, faults &found)
{
    service s;
    object_reader in(v, path, found);
    in.name("kind", s.kind);
    in.strings("models", s.models);
    in.boolean("checks_fencing", s.checksFencing);
    in.milliseconds("call_limit_ms", s.callTimeout);
    in.milliseconds("silence_limit_ms", s.streamIdleTimeout);
    if (s.kind == service_kind::Engine && s.models.empty())
        in.fault("models", "an engine needs at least one model");
    return s;
}

preset readPreset(const json::value &v, const std::string &path, faults &found)
{
    preset p;
    object_reader in(v, path, found);
    in.integer("max_programs", p.maxPrograms, 0, 10'000'000);
    in.integer("tokens_in_flight_per_replica", p.tokensInFlightPerReplica, 1, maxTokens);
    in.integer("retry_percent", p.retryPercent, 0, 100);
    return p;
}

configuration readDocument(const json::value &document, faults &found)
{
    configuration c;
    object_reader in(document, "", found);
    std::int64_t format = 0;
    in.integer("format", format, 1, 1);
    if (format == 0)
        in.fault("format", "must be 1");
    in.each("tenants", [&](const std::string &name, const json::value &v, const std::string &path) {
        c.tenants.emplace(name, readTenant(v, path, found));
    });
    in.each("classes", [&](const std::string &name, const json::value &v, const std::string &path) {
        c.classes.emplace(name, readClass(v, path, found));
    });
    in.each("services",
            [&](const std::string &name, const json::value &v, const std::string &path) {
                c.services.emplace(name, readService(v, path, found));
            });
    in.each("presets", [&](const std::string &name, const json::value &v, const std::string &path) {
        if (const auto which = fromName<preset_name>(name))
            c.presets.emplace(*which, readPreset(v, path, found));
        else
            found.push_back({path, "must be one of ordinary, peak, maintenance"});
    });
    for (std::size_t i = 0; i < enum_names<preset_name>::names.size(); ++i) {
        if (!c.presets.count(static_cast<preset_name>(i)))
            in.fault("presets", fmt::format("{} is missing", enum_names<preset_name>::names[i]));
    }
    in.name("active_preset", c.activePreset);
    return c;
}

} // namespace

tl::expected<configuration, std::vector<config_error>> parseConfiguration(std::string_view text)
{
    json::error_code code;
    const json::value document = json::parse(json::string_view(text.data(), text.size()), code);
    if (code)
        return tl::unexpected(faults{{"", "not JSON: " + code.message()}});
    faults found;
    configuration c = readDocument(document, found);
    if (!found.empty())
        return tl::unexpected(std::move(found));
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
                                     {"idle_ms", toMilliseconds(k.idle)},
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
