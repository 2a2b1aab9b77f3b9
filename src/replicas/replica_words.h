#pragma once

#include "core/core.h"

#include <map>

namespace azurehill {

/// \brief What a daemon has seen of a replica itself.
enum class replica_word {
    /// Requests fail there, and none has been answered since.
    Fails,
    /// It failed requests, and answers them again.
    Answers,
};

template <>
struct enum_names<replica_word>
{
    static constexpr std::array<std::string_view, 2> names = {"fails", "answers"};
};

/// \brief What a daemon tells the others of replicas, by the replicas' ids.
using replica_words = std::map<upstream_id, replica_word>;

/// Most replicas of which one message tells.
constexpr std::size_t mostReplicaWords = 8;

} // namespace azurehill
