#include "daemon/operator_answers.h"

#include "daemon/problems.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace azurehill {

namespace json = boost::json;

namespace {

http_response listResponse(std::string_view name, json::array list)
{
    return jsonResponse(200, json::serialize(json::object{{name, std::move(list)}}));
}

std::string_view stateOf(const program &p)
{
    return p.ended ? toName(*p.ended) : std::string_view("running");
}

void tellDecision(json::object &into,
                  const tl::expected<config_version, preset_unavailable_reason> &decided)
{
    if (decided) {
        into["in_force_version"] = decided->number;
        into["in_force_preset"] = toName(decided->config->activePreset);
    } else {
        into["in_doubt"] = toName(decided.error());
    }
}

} // namespace

http_response membersResponse(const cell_view &view)
{
    json::array list;
    for (const member &m : view.members) {
        list.push_back({{"daemon", m.daemon.value},
                        {"address", m.address},
                        {"data_centre", m.dataCentre.value},
                        {"draining", m.draining}});
    }
    return jsonResponse(200,
                        json::serialize(json::object{{"view", view.number}, {"members", list}}));
}

http_response programsResponse(const std::vector<program> &programs)
{
    json::array list;
    for (const program &p : programs) {
        list.push_back({{"program", p.id.value},
                        {"tenant", p.tenant.value},
                        {"class", p.programClass},
                        {"turns", p.lastTurn},
                        {"spent_tokens", p.spentTokens},
                        {"budget_tokens", p.budgetTokens},
                        {"state", stateOf(p)}});
    }
    return listResponse("programs", std::move(list));
}

http_response upstreamsResponse(const std::vector<replica> &replicas)
{
    json::array list;
    for (const replica &r : replicas) {
        list.push_back({{"upstream", r.id.value},
                        {"service", r.service},
                        {"data_centre", r.dataCentre.value},
                        {"address", r.address},
                        {"leaving", r.leaving},
                        {"outstanding", r.outstanding}});
    }
    return listResponse("upstreams", std::move(list));
}

http_response
presetsResponse(const config_version &head,
                const tl::expected<config_version, preset_unavailable_reason> &decided)
{
    const json::value document = json::parse(toText(*head.config));
    json::array list;
    for (const auto &[name, knobs] : document.at("presets").as_object()) {
        json::object row{{"preset", name}};
        row["newest"] = name == toName(head.config->activePreset);
        row["in_force"] = decided && name == toName(decided->config->activePreset);
        for (const auto &[knob, value] : knobs.as_object())
            row[knob] = value;
        list.push_back(std::move(row));
    }
    json::object answer{{"version", head.number}, {"presets", std::move(list)}};
    tellDecision(answer, decided);
    return jsonResponse(200, json::serialize(answer));
}

http_response configResponse(const config_version &head,
                             const tl::expected<config_version, preset_unavailable_reason> &decided)
{
    json::object answer = json::parse(toText(head)).as_object();
    tellDecision(answer, decided);
    return jsonResponse(200, json::serialize(answer));
}

http_response historyResponse(const std::vector<config_version> &versions)
{
    json::array list;
    for (const config_version &v : versions)
        list.push_back(json::parse(toText(v)));
    return listResponse("versions", std::move(list));
}

http_response storedResponse(const config_version &version)
{
    return jsonResponse(200,
                        json::serialize(json::object{{"version", version.number},
                                                     {"id", version.id},
                                                     {"accepted_ms", version.acceptedMs},
                                                     {"activate_ms", version.activateMs}}));
}

http_response faultsResponse(const std::vector<config_error> &faults)
{
    json::array list;
    for (const config_error &f : faults)
        list.push_back({{"path", f.path}, {"reason", f.reason}});
    return jsonResponse(422, json::serialize(json::object{{"faults", list}}));
}

problem toProblem(const config_write_error &error)
{
    switch (error.kind) {
    case config_write_failure::Conflict:
        if (error.there) {
            return conflictProblem(fmt::format("version {} was accepted from {}",
                                               error.there->number, error.there->author));
        }
        return conflictProblem("there is no configuration yet");
    case config_write_failure::Unavailable:
        return {503,
                "store-unavailable",
                "The platform can't be reached",
                "the configuration was not changed",
                outcome::DidNotRun,
                seconds(1)};
    case config_write_failure::TooManyWaiting:
        return {503,
                "too-many-changes",
                "Too many changes wait for their activation",
                "the configuration was not changed",
                outcome::DidNotRun,
                seconds(4)};
    case config_write_failure::Unknown:
        break;
    }
    return {504,
            "unknown-outcome",
            "The platform gave no answer",
            "the change may take effect later: look at the history",
            outcome::Unknown,
            std::nullopt};
}

} // namespace azurehill
