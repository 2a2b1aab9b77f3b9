#include "explain/log_story.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <istream>
#include <set>

namespace azurehill {

namespace json = boost::json;

namespace {

std::string textOf(const json::value &v)
{
    return v.is_string() ? std::string(v.get_string()) : json::serialize(v);
}

/// \returns the last space-separated word of \p text, or an empty string.
std::string_view lastWord(std::string_view text)
{
    const std::size_t end = text.find_last_not_of(' ');
    if (end == std::string_view::npos)
        return {};
    const std::size_t start = text.find_last_of(' ', end);
    return text.substr(start == std::string_view::npos ? 0 : start + 1,
                       end - (start == std::string_view::npos ? 0 : start + 1) + 1);
}

bool readLine(const std::string &line, const std::string &source, log_entry &entry)
{
    const std::size_t brace = line.find('{');
    if (brace == std::string::npos)
        return false;
    boost::system::error_code code;
    const json::value document = json::parse(std::string_view(line).substr(brace), code);
    if (code || !document.is_object())
        return false;
    const std::string_view named = lastWord(std::string_view(line).substr(0, brace));
    entry.source = named.empty() ? source : std::string(named);
    for (const auto &[key, value] : document.get_object())
        entry.fields[std::string(key)] = textOf(value);
    entry.time = std::exchange(entry.fields["time"], {});
    entry.event = std::exchange(entry.fields["event"], {});
    for (const char *key : {"time", "event", "level"})
        entry.fields.erase(key);
    return !entry.time.empty() && !entry.event.empty();
}

bool mentionsId(const log_entry &e, std::string_view id)
{
    return e.field("request") == id || e.field("program") == id || e.field("fingerprint") == id;
}

/// \brief Daemons, replicas and time range in the log lines of a request or program. They select
/// the context lines that are shown with it.
struct timeline_scope
{
    std::set<std::string> sources;
    std::set<std::string> replicas;
    std::set<std::string> fingerprints;
    std::string begin;
    std::string end;
};

timeline_scope scopeOf(const std::vector<const log_entry *> &own)
{
    timeline_scope scope;
    for (const log_entry *e : own) {
        scope.sources.insert(e->source);
        if (!e->field("replica").empty())
            scope.replicas.emplace(e->field("replica"));
        if (!e->field("fingerprint").empty())
            scope.fingerprints.emplace(e->field("fingerprint"));
    }
    scope.begin = own.front()->time;
    scope.end = own.back()->time;
    return scope;
}

/// \returns whether \p e is context for the timeline, that is, an event of one of its daemons no
/// later than its end: about one of its replicas at any earlier time, or about the daemon,
/// its configuration, its peers or the store within the time range.
bool isContext(const log_entry &e, const timeline_scope &scope)
{
    // Other daemons may have lost the request as well, and earlier.
    static const std::set<std::string, std::less<>> crashEvents
        = {"send_lost", "request_quarantined", "quarantine_lifted"};
    if (crashEvents.contains(e.event))
        return scope.fingerprints.contains(std::string(e.field("fingerprint")));
    if (!scope.sources.contains(e.source) || e.time > scope.end)
        return false;
    static const std::set<std::string, std::less<>> replicaEvents
        = {"replica_doubted", "replica_trusted", "replica_draining", "replica_gone"};
    if (replicaEvents.contains(e.event))
        return scope.replicas.contains(std::string(e.field("replica")));
    static const std::set<std::string, std::less<>> daemonEvents
        = {"store_lost",  "store_regained",        "started",    "stopping",
           "log_dropped", "configuration_adopted", "member_gone"};
    return daemonEvents.contains(e.event) && e.time >= scope.begin;
}

std::string formatEntry(const log_entry &e, bool isOwn)
{
    std::string text
        = fmt::format("{}  {:<22} {} {}", e.time, e.source, isOwn ? "*" : " ", e.event);
    for (const auto &[name, value] : e.fields)
        text += fmt::format(" {}={}", name, value);
    return text + "\n";
}

/// \returns messages for the expected log lines that are missing from \p own, by request, and for
/// log lines that a daemon dropped.
std::string describeMissingLines(const std::vector<const log_entry *> &own, bool logDropped)
{
    std::map<std::string, std::set<std::string>> eventsOf;
    for (const log_entry *e : own) {
        if (!e->field("request").empty())
            eventsOf[std::string(e->field("request"))].insert(e->event);
    }
    std::string text;
    for (const auto &[request, events] : eventsOf) {
        if (events.contains("sent") && !events.contains("send_ended"))
            text
                += fmt::format("missing: {} was sent, and no line tells how that ended\n", request);
        if (!events.contains("answered") && !events.contains("own_answer"))
            text += fmt::format("missing: no line tells how {} was answered; its daemon may have "
                                "died, or its log is not among these\n",
                                request);
    }
    if (logDropped)
        text += "missing: a daemon of the story dropped log lines in this time\n";
    return text;
}

} // namespace

std::string_view log_entry::field(const std::string &name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string_view() : std::string_view(found->second);
}

void readLog(std::istream &in, const std::string &source, parsed_log &into)
{
    std::string line;
    while (std::getline(in, line)) {
        if (line.find_first_not_of(' ') == std::string::npos)
            continue;
        log_entry entry;
        if (readLine(line, source, entry))
            into.entries.push_back(std::move(entry));
        else
            ++into.unparsedLines;
    }
}

std::string formatTimeline(const parsed_log &lines, std::string_view id)
{
    std::vector<const log_entry *> own;
    for (const log_entry &e : lines.entries) {
        if (mentionsId(e, id))
            own.push_back(&e);
    }
    const auto byTime = [](const log_entry *a, const log_entry *b) { return a->time < b->time; };
    std::stable_sort(own.begin(), own.end(), byTime);
    std::string text;
    if (lines.unparsedLines > 0)
        text += fmt::format("{} lines could not be read\n", lines.unparsedLines);
    if (own.empty())
        return text + fmt::format("no line names {} as a request or a program\n", id);

    const timeline_scope scope = scopeOf(own);
    std::vector<const log_entry *> all = own;
    bool logDropped = false;
    for (const log_entry &e : lines.entries) {
        if (mentionsId(e, id) || !isContext(e, scope))
            continue;
        all.push_back(&e);
        logDropped = logDropped || e.event == "log_dropped";
    }
    std::stable_sort(all.begin(), all.end(), byTime);
    for (const log_entry *e : all)
        text += formatEntry(*e, mentionsId(*e, id));
    return text + describeMissingLines(own, logDropped);
}

} // namespace azurehill
