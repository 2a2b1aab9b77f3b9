#include "client/commands.h"

#include "client/table.h"
#include "config/config_diff.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <fstream>
#include <sstream>

namespace azurehill {

namespace json = boost::json;

namespace {

using command_output = tl::expected<std::string, command_error>;
using string_list = std::vector<std::string>;

command_output failure(int status, std::string text)
{
    return tl::unexpected(command_error{status, std::move(text), 0});
}

std::string versionOf(const json::value &v)
{
    return json::serialize(v.at("version"));
}

command_output list(const daemon_client &client, const ctl_options &o, const std::string &name,
                    const string_list &columns)
{
    auto answer = client.get("/operator/" + name);
    if (!answer)
        return tl::unexpected(answer.error());
    if (o.json)
        return toPrettyText(*answer) + "\n";
    return toTable(answer->at(name).as_array(), columns);
}

command_output members(const daemon_client &client, const ctl_options &o)
{
    return list(client, o, "members", {"daemon", "data_centre", "address", "draining"});
}

command_output upstreams(const daemon_client &client, const ctl_options &o)
{
    return list(client, o, "upstreams",
                {"upstream", "service", "data_centre", "address", "leaving", "outstanding"});
}

command_output presets(const daemon_client &client, const ctl_options &o)
{
    return list(client, o, "presets",
                {"preset", "in_force", "newest", "max_programs", "tokens_in_flight_per_replica",
                 "retry_percent"});
}

/// \brief Asks every member for the programs that it owns.
command_output programs(const daemon_client &client, const ctl_options &o)
{
    auto cell = client.get("/operator/members");
    if (!cell)
        return tl::unexpected(cell.error());
    json::array all;
    for (const json::value &m : cell->at("members").as_array()) {
        const auto address = parseEndpoint(std::string(m.at("address").as_string()));
        auto answer = client.getFrom(address.value_or(endpoint{}), "/operator/programs");
        // A list with a gap would look whole.
        if (!answer)
            return tl::unexpected(answer.error());
        for (json::value &p : answer->at("programs").as_array()) {
            p.as_object()["daemon"] = m.at("daemon");
            all.push_back(std::move(p));
        }
    }
    if (o.json)
        return toPrettyText(json::object{{"programs", all}}) + "\n";
    return toTable(all,
                   {"program", "daemon", "tenant", "class", "turns", "spent_tokens",
                    "budget_tokens", "state"});
}

command_output configShow(const daemon_client &client, const ctl_options &o)
{
    auto answer = client.get("/operator/config");
    if (!answer)
        return tl::unexpected(answer.error());
    return toPrettyText(o.json ? *answer : answer->at("config")) + "\n";
}

command_output configHistory(const daemon_client &client, const ctl_options &o)
{
    auto answer = client.get("/operator/config/history");
    if (!answer)
        return tl::unexpected(answer.error());
    if (o.json)
        return toPrettyText(*answer) + "\n";
    json::array &rows = answer->at("versions").as_array();
    for (json::value &row : rows) {
        json::object &v = row.as_object();
        v["accepted"] = toUtc(v.at("accepted_ms").to_number<std::int64_t>());
        v["in_force_from"] = toUtc(v.at("activate_ms").to_number<std::int64_t>());
        v["preset"] = v.at("config").at("active_preset");
    }
    return toTable(rows, {"version", "author", "accepted", "in_force_from", "preset", "id"});
}

const json::value *findVersion(const json::array &versions, const std::string &wanted)
{
    for (const json::value &v : versions) {
        if (versionOf(v) == wanted)
            return &v;
    }
    return nullptr;
}

std::string formatChanges(const json::value &before, const json::value &after)
{
    std::string text;
    for (const config_change &c :
         diffJson(json::serialize(before.at("config")), json::serialize(after.at("config")))) {
        if (!c.before.empty())
            text += fmt::format("- {} {}\n", c.path, c.before);
        if (!c.after.empty())
            text += fmt::format("+ {} {}\n", c.path, c.after);
    }
    return text;
}

json::array changesJson(const json::value &before, const json::value &after)
{
    json::array changes;
    for (const config_change &c :
         diffJson(json::serialize(before.at("config")), json::serialize(after.at("config")))) {
        json::object o{{"path", c.path}};
        if (!c.before.empty())
            o["before"] = json::parse(c.before);
        if (!c.after.empty())
            o["after"] = json::parse(c.after);
        changes.push_back(std::move(o));
    }
    return changes;
}

command_output configDiff(const daemon_client &client, const ctl_options &o)
{
    auto answer = client.get("/operator/config/history");
    if (!answer)
        return tl::unexpected(answer.error());
    const json::array &versions = answer->at("versions").as_array();
    const json::value *before = findVersion(versions, o.words[2]);
    const json::value *after = findVersion(versions, o.words[3]);
    if (!before || !after)
        return failure(BadUsage, "no version " + o.words[before ? 3 : 2] + " in the history");
    if (o.json)
        return toPrettyText(json::object{{"changes", changesJson(*before, *after)}}) + "\n";
    return formatChanges(*before, *after);
}

/// \returns who changed what since version \p since.
std::string explainConflict(const daemon_client &client, const std::string &since)
{
    auto answer = client.get("/operator/config/history");
    if (!answer)
        return "";
    const json::array &versions = answer->at("versions").as_array();
    const json::value *before = findVersion(versions, since);
    std::string text;
    for (const json::value &v : versions) {
        if (!before
            || v.at("version").to_number<std::int64_t>()
                <= before->at("version").to_number<std::int64_t>())
            continue;
        text += fmt::format(
            "\nversion {} by {} at {}:\n{}", versionOf(v), std::string(v.at("author").as_string()),
            toUtc(v.at("accepted_ms").to_number<std::int64_t>()), formatChanges(*before, v));
        before = &v;
    }
    return text;
}

command_output change(const daemon_client &client, const ctl_options &o, const std::string &text,
                      const std::string &version)
{
    auto stored = client.putConfig(text, version, o.author);
    if (!stored && stored.error().status == Conflict) {
        return failure(Conflict,
                       fmt::format("{}; yours was made to version {}{}", stored.error().text,
                                   version, explainConflict(client, version)));
    }
    if (!stored)
        return tl::unexpected(stored.error());
    if (o.json)
        return toPrettyText(*stored) + "\n";
    return fmt::format("version {} accepted, in force from {}\n", versionOf(*stored),
                       toUtc(stored->at("activate_ms").to_number<std::int64_t>()));
}

command_output configApply(const daemon_client &client, const ctl_options &o)
{
    std::ifstream in(o.words[2], std::ios::binary);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf()))
        return failure(NoInput, "can't read " + o.words[2]);
    std::string version = o.ifVersion;
    if (version.empty()) {
        auto newest = client.get("/operator/config");
        constexpr int notFound = 404;
        if (!newest && newest.error().httpStatus != notFound)
            return tl::unexpected(newest.error());
        // With none yet this is the first, and the daemon refuses it if that is wrong.
        version = newest ? versionOf(*newest) : "0";
    }
    return change(client, o, text.str(), version);
}

command_output presetActivate(const daemon_client &client, const ctl_options &o)
{
    auto newest = client.get("/operator/config");
    if (!newest)
        return tl::unexpected(newest.error());
    json::value config = newest->at("config");
    config.as_object()["active_preset"] = o.words[2];
    return change(client, o, json::serialize(config),
                  o.ifVersion.empty() ? versionOf(*newest) : o.ifVersion);
}

struct command
{
    string_list words;
    /// Names of the arguments after the words.
    string_list arguments;
    const char *help;
    command_output (*run)(const daemon_client &, const ctl_options &);
};

const std::vector<command> &commands()
{
    static const std::vector<command> all = {
        {{"members"}, {}, "daemons of the cell", members},
        {{"programs"}, {}, "programs that daemons own now", programs},
        {{"upstreams"}, {}, "replicas as this daemon knows them", upstreams},
        {{"presets"}, {}, "presets, which was accepted last and which is in force", presets},
        {{"presets", "activate"}, {"NAME"}, "make a preset the active one", presetActivate},
        {{"config", "show"}, {}, "the newest configuration", configShow},
        {{"config", "apply"}, {"FILE"}, "replace the configuration", configApply},
        {{"config", "history"}, {}, "the last accepted versions", configHistory},
        {{"config", "diff"}, {"V1", "V2"}, "what changed between two versions", configDiff},
    };
    return all;
}

bool matches(const command &c, const string_list &words)
{
    return words.size() == c.words.size() + c.arguments.size()
        && std::equal(c.words.begin(), c.words.end(), words.begin());
}

} // namespace

std::string commandHelp()
{
    std::string text = "Commands:\n";
    for (const command &c : commands()) {
        const std::string name
            = fmt::format("{} {}", fmt::join(c.words, " "), fmt::join(c.arguments, " "));
        text += fmt::format("  {:24}{}\n", name, c.help);
    }
    return text
        + fmt::format("  {:24}{}\n", "explain ID [FILE...]",
                      "what logs tell of a request or a program; no daemon is asked");
}

int runCommand(const daemon_client &client, const ctl_options &options)
{
    for (const command &c : commands()) {
        if (!matches(c, options.words))
            continue;
        try {
            const command_output result = c.run(client, options);
            if (result) {
                fmt::print("{}", *result);
                return Done;
            }
            fmt::print(stderr, "azurehill-ctl: {}\n", result.error().text);
            return result.error().status;
        } catch (const std::exception &e) {
            fmt::print(stderr, "azurehill-ctl: the answer has another form: {}\n", e.what());
            return Protocol;
        }
    }
    fmt::print(stderr, "azurehill-ctl: no such command\n{}", commandHelp());
    return BadUsage;
}

} // namespace azurehill
