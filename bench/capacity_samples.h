#pragma once

#include "config/config.h"
#include "journal/journal.h"
#include "ownership/ownership.h"
#include "program/programs.h"
#include "sched/sched.h"

#include <fmt/format.h>

#include <string>
#include <vector>

namespace azurehill::bench {

/// Bytes that one turn adds: the target's 390,000 tokens over 120 turns at 4 bytes a token.
constexpr std::size_t historyBytesPerTurn = 13'000;
/// Bytes of one answer: the target's 8.9 million tokens over 27,000 requests at 4 bytes a token.
constexpr std::size_t replyBytesPerTurn = 1'320;

inline member makeMember(int i)
{
    return {{fmt::format("daemon-{:04}", i)},
            fmt::format("{:012x}", i),
            fmt::format("10.0.{}.{}:8080", i / 250, i % 250),
            fmt::format("10.0.{}.{}:8081", i / 250, i % 250),
            {fmt::format("centre-{:02}", i % 14)},
            false};
}

inline cell_view makeView(int members)
{
    cell_view view{1, 1, {}};
    for (int i = 0; i < members; ++i)
        view.members.push_back(makeMember(i));
    return view;
}

inline std::vector<replica> makeReplicas(int count)
{
    std::vector<replica> replicas;
    for (int i = 0; i < count; ++i) {
        replica r;
        r.id.value = fmt::format("engine-{:05}", i);
        r.service = fmt::format("model-{}", i % 3);
        r.dataCentre.value = fmt::format("centre-{:02}", i % 14);
        r.address = fmt::format("10.1.{}.{}:8000", i / 250, i % 250);
        replicas.push_back(r);
    }
    return replicas;
}

inline configuration makeConfiguration(int tenants)
{
    configuration c;
    for (int i = 0; i < tenants; ++i)
        c.tenants[fmt::format("tenant-{:03}", i)].tokenSha256 = fmt::format("{:064x}", i);
    c.classes["lesson"] = {};
    for (int i = 0; i < 3; ++i)
        c.services[fmt::format("model-{}", i)].models = {fmt::format("story-{}", i)};
    for (std::size_t i = 0; i < enum_names<preset_name>::names.size(); ++i)
        c.presets[static_cast<preset_name>(i)] = {};
    return c;
}

inline program_created makeCreated(const program_id &id)
{
    program_created r;
    r.program = id;
    r.tenant.value = "tenant-001";
    r.programClass = "lesson";
    r.budgetTokens = 1'000'000'000;
    return r;
}

inline call_begun makeBegun(const program_id &id, std::int64_t turn)
{
    call_begun r;
    r.program = id;
    r.turn = turn;
    r.key = fmt::format("key-{:08}", turn);
    r.reservedTokens = 4000;
    return r;
}

inline call_finished makeFinished(const program_id &id, std::int64_t turn)
{
    call_finished r;
    r.program = id;
    r.turn = turn;
    r.key = fmt::format("key-{:08}", turn);
    r.spentTokens = 3250;
    r.messages = std::string(historyBytesPerTurn, 'h');
    r.reply = std::string(replyBytesPerTurn, 'r');
    return r;
}

inline call_request makeRequest(const program_id &id, std::int64_t turn)
{
    const call_begun begun = makeBegun(id, turn);
    call_request r;
    r.program = id;
    r.turn = turn;
    r.key = begun.key;
    r.reserveTokens = begun.reservedTokens;
    return r;
}

} // namespace azurehill::bench
