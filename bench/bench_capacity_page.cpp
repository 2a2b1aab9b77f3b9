// Turns the JSON lines of the other capacity programs, on standard input, into the tables of
// docs/CAPACITY.md.

#include "bench/fit.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <cmath>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace azurehill::bench {

namespace json = boost::json;

namespace {

struct measured_line
{
    std::string name;
    std::string unit;
    std::string against;
    line_fit fit;
    double largest = 0;
    double exponent = std::nan("");

    /// \returns the value to expect at \p size. A slope within two errors of nothing, or too flat
    /// to be more than the window's edges, must not be carried far beyond the largest size.
    double at(double size) const
    {
        constexpr double flatExponent = 0.05;
        const bool isNoise
            = std::abs(fit.slope) < 2 * fit.slopeError || std::abs(exponent) < flatExponent;
        return std::max(0.0, fit.at(isNoise ? std::min(size, largest) : size));
    }
};

/// The size that the letter sets for the long run.
constexpr double daemons = 1800;
constexpr double cells = 14;
constexpr double replicas = 6200;
constexpr double tenants = 400;
constexpr double programs = 470'000;
constexpr double requests = 27'000;
constexpr double tokens = 8'900'000;
constexpr double turnsOfProgram = 120;
constexpr double centreDaemons = 130;
constexpr double centrePrograms = 33'000;

constexpr double configurationChanges = 9'000 / 86'400.0;
constexpr double secondsBetweenTokens = 0.033;
/// Program histories are taken half-way through, on average.
constexpr double averageTurns = turnsOfProgram / 2;

/// The limits of the letter and the brief.
constexpr double memoryLimit = 256e6;
constexpr double processorLimit = 0.012;
constexpr double bytesLimit = 6000;
constexpr double readsLimit = 2000;
constexpr double writesLimit = 300;

const std::map<std::string, double> targets = {
    {"members", daemons},
    {"replicas", replicas},
    {"tenants", tenants},
    {"turns of 13 kB", turnsOfProgram},
    {"turns before it", turnsOfProgram},
    {"turns in the batch", requests / daemons},
    {"turns replayed", centrePrograms / centreDaemons *turnsOfProgram},
    {"turns a second", requests / daemons},
    {"programs without turns", programs / daemons},
    {"programs lost", centrePrograms},
    {"tokens", tokens / daemons},
    {"tokens of a call", tokens / requests},
};

class measured_lines
{
public:
    explicit measured_lines(std::istream &in)
    {
        for (std::string text; std::getline(in, text);) {
            const json::object o = json::parse(text).as_object();
            if (o.at("kind").as_string() == "fit")
                m_lines.push_back(read(o));
        }
    }

    const std::vector<measured_line> &all() const { return m_lines; }

    double at(std::string_view name, double size) const
    {
        for (const measured_line &l : m_lines) {
            if (l.name == name)
                return l.at(size);
        }
        return std::nan("");
    }

private:
    static measured_line read(const json::object &o)
    {
        measured_line l;
        l.name = o.at("name").as_string();
        l.unit = o.at("unit").as_string();
        l.against = o.at("against").as_string();
        l.fit.samples = o.at("samples").to_number<std::size_t>();
        l.fit.intercept = o.at("intercept").to_number<double>();
        l.fit.slope = o.at("slope").to_number<double>();
        l.largest = o.at("largest").to_number<double>();
        if (const json::value *error = o.if_contains("slope_error"))
            l.fit.slopeError = error->to_number<double>();
        if (const json::value *exponent = o.if_contains("exponent"))
            l.exponent = exponent->to_number<double>();
        return l;
    }

    std::vector<measured_line> m_lines;
};

std::string text(double value)
{
    if (!std::isfinite(value))
        return "–";
    return std::abs(value) >= 1000 ? fmt::format("{:.0f}", value) : fmt::format("{:.3g}", value);
}

void printSlopes(const measured_lines &lines)
{
    fmt::print("| quantity | unit | against | samples | fixed | slope ± error | exponent "
               "| measured to | at the target | beyond |\n"
               "|---|---|---|---:|---:|---:|---:|---:|---:|---:|\n");
    for (const measured_line &l : lines.all()) {
        const double target = targets.at(l.against);
        const std::string beyond
            = target > l.largest ? fmt::format("{:.3g}×", target / l.largest) : "no";
        fmt::print("| `{}` | {} | {} | {} | {} | {} ± {} | {} | {} | {} at {} | {} |\n", l.name,
                   l.unit, l.against, l.fit.samples, text(l.fit.intercept), text(l.fit.slope),
                   text(l.fit.slopeError), text(l.exponent), text(l.largest), text(l.at(target)),
                   text(target), beyond);
    }
}

void printBudgetRow(std::string_view what, double oneCell, double perCentre, double limit)
{
    const auto mark = [&](double v) { return text(v) + (v > limit ? " **breaks**" : ""); };
    fmt::print("| {} | {} | {} | {} |\n", what, mark(oneCell), mark(perCentre), text(limit));
}

/// \brief What today's mechanisms cost at the target, as one cell and as a cell a data centre.
void printBudget(const measured_lines &m)
{
    const auto bytes = [&](double members) {
        return m.at("idle.view_bytes", members) + m.at("idle.lease_bytes", members)
            + m.at("hosts.bytes", replicas) + m.at("config.bytes", tenants);
    };
    const auto processor = [&](double members) {
        return m.at("idle.processor", members) + m.at("hosts.processor", replicas)
            - m.at("idle.processor", 1);
    };
    const auto memory = [&](double members, double turns) {
        return m.at("state.members", members) + m.at("state.replicas", replicas)
            + m.at("state.configuration", tenants)
            + programs / daemons * m.at("state.program_by_turns", turns);
    };
    const auto reads = [&](double members) { return daemons * m.at("idle.reads", members); };
    const auto writes = [&](double members) {
        return daemons * (m.at("idle.writes", members) + m.at("turns.writes", requests / daemons));
    };
    const double one = daemons;
    const double cell = daemons / cells;
    fmt::print("| today's mechanisms at the target | one cell of {} | {} cells of {:.0f} | limit "
               "|\n|---|---:|---:|---:|\n",
               daemons, cells, cell);
    printBudgetRow("control bytes a second, each daemon", bytes(one), bytes(cell), bytesLimit);
    printBudgetRow("of these the view", m.at("idle.view_bytes", one), m.at("idle.view_bytes", cell),
                   bytesLimit);
    printBudgetRow("of these the leases", m.at("idle.lease_bytes", one),
                   m.at("idle.lease_bytes", cell), bytesLimit);
    printBudgetRow("of these the host list", m.at("hosts.bytes", replicas),
                   m.at("hosts.bytes", replicas), bytesLimit);
    printBudgetRow("of these the configuration", m.at("config.bytes", tenants),
                   m.at("config.bytes", tenants), bytesLimit);
    printBudgetRow("control processor, share of a core", processor(one), processor(cell),
                   processorLimit);
    printBudgetRow("platform reads a second, all daemons", reads(one), reads(cell), readsLimit);
    printBudgetRow("platform writes a second, all daemons", writes(one), writes(cell), writesLimit);
    printBudgetRow("memory, programs of 30 turns", memory(one, 30), memory(cell, 30), memoryLimit);
    printBudgetRow("memory, programs of 60 turns", memory(one, averageTurns),
                   memory(cell, averageTurns), memoryLimit);
    printBudgetRow("memory, programs of 120 turns", memory(one, turnsOfProgram),
                   memory(cell, turnsOfProgram), memoryLimit);
}

/// \brief What one role costs a daemon.
struct role_cost
{
    std::string_view role;
    double stateBytes = 0;
    double messages = 0;
    double processor = 0;
    double bytes = 0;
    std::string_view mechanism;
};

std::vector<role_cost> roleCosts(const measured_lines &m)
{
    constexpr double perSecond = 1e-6;
    const double members = daemons / cells;
    const double turns = requests / daemons;
    const double tokensEach = tokens / daemons;
    const double tokensOfCall = tokens / requests;
    const double openCalls = turns * tokensOfCall * secondsBetweenTokens;
    const double tokenTime = m.at("time.token_relay", tokensEach) * perSecond;
    const double hostsProcessor = m.at("hosts.processor", replicas) - m.at("hosts.processor", 0);
    return {
        {"entry (traffic)", openCalls * m.at("state.stream", tokensOfCall), turns + tokensEach,
         tokenTime, m.at("row.stream", tokensEach), "call_stream, read from any event on"},
        {"owner of programs (traffic)",
         programs / daemons * m.at("state.program_by_turns", averageTurns), 2 * turns,
         turns * m.at("time.turn", averageTurns) * perSecond, 0, "program_book, whole in memory"},
        {"journal (traffic)", 2 * turns * m.at("row.batch", 1), m.at("turns.writes", turns),
         m.at("turns.processor", turns) - m.at("turns.processor", 0), m.at("turns.bytes", turns),
         "commit_batcher, a write each 30 ms at the most"},
        {"router", m.at("state.replicas", replicas), 2,
         hostsProcessor + turns * m.at("time.route", replicas) * perSecond,
         m.at("hosts.bytes", replicas), "the whole host list each 500 ms"},
        {"membership", m.at("state.members", members), m.at("idle.writes", members) + 8,
         m.at("idle.processor", members),
         m.at("idle.view_bytes", members) + m.at("idle.lease_bytes", members),
         "a lease row a daemon; view and leases read each 250 ms"},
        {"configuration", m.at("state.configuration", tenants), 1,
         configurationChanges * m.at("time.configuration", tenants) * perSecond,
         m.at("config.bytes", tenants), "the whole document each second"},
    };
}

void printRoles(const measured_lines &m)
{
    fmt::print("| role of one daemon, as built, 14 cells | state, bytes | messages a second "
               "| cores | bytes a second | mechanism |\n|---|---:|---:|---:|---:|---|\n");
    for (const role_cost &r : roleCosts(m)) {
        fmt::print("| {} | {} | {} | {} | {} | {} |\n", r.role, text(r.stateBytes),
                   text(r.messages), text(r.processor), text(r.bytes), r.mechanism);
    }
    fmt::print("| fleet orders | not built | | | | |\n");
}

} // namespace

} // namespace azurehill::bench

int main()
{
    using namespace azurehill::bench;
    const measured_lines lines(std::cin);
    printSlopes(lines);
    fmt::print("\n");
    printRoles(lines);
    fmt::print("\n");
    printBudget(lines);
    return 0;
}
