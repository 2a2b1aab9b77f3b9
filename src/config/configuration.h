#pragma once

#include "core/enum_names.h"
#include "core/ids.h"
#include "core/runtime_clock.h"

#include <map>
#include <string>
#include <vector>

namespace azurehill {

/// \brief The three presets that operators switch between. Exactly one is active.
enum class preset_name { Ordinary, Peak, Maintenance };

template <>
struct enum_names<preset_name>
{
    static constexpr std::array<std::string_view, 3> names = {"ordinary", "peak", "maintenance"};
};

/// \brief The limits that a preset sets.
struct preset
{
    /// Maximum number of running programs in the whole system.
    std::int64_t maxPrograms = 1000;
    /// Maximum number of tokens in flight per model replica.
    std::int64_t tokensInFlightPerReplica = 200'000;
    /// Maximum share of retries in the traffic, in percent.
    int retryPercent = 10;
};

struct tenant
{
    /// SHA-256 of the bearer token, as lower-case hexadecimal digits.
    std::string tokenSha256;
    /// Weight for fair sharing between tenants under contention.
    int weight = 1;
    std::int64_t maxPrograms = 500;
    std::int64_t maxBudgetTokens = 1'000'000;
};

struct program_class
{
    int weight = 1;
    std::int64_t maxTurns = 120;
    /// Default and maximum time from a program's creation to its deadline.
    duration deadline = seconds(1800);
    /// A program that makes no call for this time is ended.
    duration idleTimeout = seconds(600);
    std::int64_t budgetTokens = 400'000;
};

enum class service_kind { Engine, Tool, Plain };

template <>
struct enum_names<service_kind>
{
    static constexpr std::array<std::string_view, 3> names = {"engine", "tool", "plain"};
};

/// \brief A group of replicas that serve the same calls. The host list names the replicas.
struct service
{
    service_kind kind = service_kind::Engine;
    /// Models that an engine serves; other kinds need none.
    std::vector<std::string> models;
    /// Whether its replicas reject requests that carry an outdated fencing number.
    bool checksFencing = false;
    /// Maximum duration of a call.
    duration callTimeout = seconds(60);
    /// Maximum time without data on a response stream.
    duration streamIdleTimeout = seconds(10);
};

/// \brief The configuration that operators change and all daemons apply.
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
