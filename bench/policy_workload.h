#pragma once

#include "core/core.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace azurehill::bench {

/// \brief The four programs of the brief.
enum class program_kind { Page, Lesson, Registration, Captain };

} // namespace azurehill::bench

namespace azurehill {
template <>
struct enum_names<bench::program_kind>
{
    static constexpr std::array<std::string_view, 4> names
        = {"page", "lesson", "registration", "captain"};
};
} // namespace azurehill

namespace azurehill::bench {

/// \brief What sets one kind of program apart from the others.
struct kind_traits
{
    double part;
    /// Least number of turns; the rest is a Pareto tail of exponent 1.5, cut at maxTurns.
    double turns;
    int maxTurns;
    int firstTokens;
    int newTokens;
    int outputTokens;
    double pauseSeconds;
    double subAgentChance;
    int sharedTokens;
    double deadlineSeconds;
};

constexpr std::array<kind_traits, 4> kinds = {{
    {.3, 2, 60, 1500, 250, 220, 1.0, .05, 0, 120},
    {.3, 4, 80, 2500, 150, 150, 2.0, .02, 0, 180},
    {.3, 2, 40, 1000, 120, 80, 1.0, .0, 0, 60},
    {.1, 4, 100, 1500, 400, 200, 1.0, .10, 8000, 300},
}};

struct program_shape;

struct turn_shape
{
    int newTokens = 0;
    int outputTokens = 0;
    double pauseSeconds = 0;
    std::vector<program_shape> subAgents;
};

struct program_shape
{
    program_kind kind = program_kind::Page;
    double arrival = 0;
    int tenant = 0;
    int daemon = 0;
    /// Which shared context it begins with; 0 for none.
    int club = 0;
    std::vector<turn_shape> turns;

    const kind_traits &traits() const { return kinds[std::size_t(kind)]; }
    int sharedTokens() const { return club ? traits().sharedTokens : 0; }
};

constexpr int tenantCount = 8;
constexpr int clubsPerTenant = 3;

/// \brief Draws programs; the same seed gives the same programs.
class workload_source
{
public:
    explicit workload_source(std::uint64_t seed) : m_random(seed) { }

    program_shape draw(double arrival, int tenant, int daemon)
    {
        std::discrete_distribution<int> kind({.3, .3, .3, .1});
        program_shape p = drawTurns(program_kind(kind(m_random)), true);
        p.arrival = arrival;
        p.tenant = tenant;
        p.daemon = daemon;
        if (p.traits().sharedTokens > 0)
            p.club = 1 + tenant * clubsPerTenant + uniform(clubsPerTenant);
        return p;
    }
    int uniform(int below) { return std::uniform_int_distribution<int>(0, below - 1)(m_random); }
    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(m_random);
    }

private:
    program_shape drawTurns(program_kind kind, bool root)
    {
        program_shape p;
        p.kind = kind;
        const kind_traits &t = p.traits();
        const double u = std::uniform_real_distribution<double>(1e-6, 1)(m_random);
        const int turns = root ? std::min(t.maxTurns, int(t.turns * std::pow(u, -1 / 1.5))) : 2;
        for (int i = 0; i < turns; ++i) {
            turn_shape turn;
            turn.newTokens = aroundMean(i == 0 ? t.firstTokens : t.newTokens);
            turn.outputTokens = aroundMean(t.outputTokens);
            turn.pauseSeconds = i + 1 < turns ? exponential(t.pauseSeconds) : 0;
            if (root && i + 1 < turns && exponential(1) < t.subAgentChance) {
                for (int n = 1 + uniform(3); n > 0; --n)
                    turn.subAgents.push_back(drawTurns(program_kind::Page, false));
            }
            p.turns.push_back(std::move(turn));
        }
        return p;
    }
    /// A lognormal draw: half of all are below three quarters of the mean, some several times it.
    int aroundMean(int mean)
    {
        constexpr double sigma = 0.75;
        std::lognormal_distribution<double> d(std::log(double(mean)) - sigma * sigma / 2, sigma);
        return std::clamp(int(d(m_random)), 10, 20 * mean);
    }

    std::mt19937_64 m_random;
};

} // namespace azurehill::bench
