#pragma once

#include "core/enum_names.h"
#include "core/ids.h"
#include "core/runtime_clock.h"

#include <map>
#include <string>
#include <vector>

namespace azurehill {

/// \brief The three presets that operators switch between. Exactly one is in force.
enum class preset_name { Ordinary, Peak, Maintenance };

template <>
struct enum_names<preset_name>
{
    static constexpr std::array<std::string_view, 3> names = {"ordinary", "peak", "maintenance"};
};

/// \brief What a preset decides.
struct preset
{
    /// Largest number of programs under way in the whole system.
    std::int64_t maxPrograms = 1000;
    /// Tokens in flight that a model replica is given at the most.
    std::int64_t tokensInFlightPerReplica = 200'000;
    /// Share of the traffic that may be retries, in percent.
    int retryPercent = 10;
};

struct tenant
{
    /// SHA-256 of the bearer token, in hexadecimal.
    std::string tokenSha256;
    /// Share of the system under contention, relative to the other tenants.
    int weight = 1;
    std::int64_t maxPrograms = 500;
    std::int64_t maxBudgetTokens = 1'000'000;
};

struct program_class
{
    int weight = 1;
    std::int64_t maxTurns = 120;
    /// Default and longest deadline of a program.
    duration deadline = seconds(1800);
    /// A program that makes no call for so long is ended.
    duration idle = seconds(600);
    std::int64_t budgetTokens = 400'000;
};

enum class service_kind { Engine, Tool, Plain };

template <>
struct enum_names<service_kind>
{
    static constexpr std::array<std::string_view, 3> names = {"engine", "tool", "plain"};
};

/// \brief A group of replicas that serve the same calls. The host list says which these are.
struct service
{
    service_kind kind = service_kind::Engine;
    /// Models that an engine serves.
    std::vector<std::string> models;
    /// Whether its replicas refuse an order that carries an old fencing number.
    bool checksFencing = false;
    /// Longest time a call may take.
    duration callTimeout = seconds(60);
    /// Longest silence within a stream.
    duration streamIdleTimeout = seconds(10);
};

/// \brief The document that operators change and every daemon follows.
struct configuration
{
    std::map<std::string, tenant> tenants;
    std::map<std::string, program_class> classes;
    std::map<std::string, service> services;
    std::map<preset_name, preset> presets;
    preset_name activePreset = preset_name::Ordinary;

    const preset &active() const { return presets.at(activePreset); }
};

} // namespace azurehill
