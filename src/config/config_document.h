#pragma once

#include "config/config_error.h"
#include "config/configuration.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurehill {

/// \brief Version number of a stored configuration; 0 means that there is none.
using config_number = std::uint64_t;

/// \brief A version of the configuration. Times are milliseconds by the platform's clock.
struct config_version
{
    config_number number = 0;
    /// Random id of the write, by which its writer recognizes it if the response was lost.
    std::string id;
    std::string author;
    /// Latest possible time of the proposal. The writer had read the previous version by then.
    std::int64_t acceptedMs = 0;
    /// Time from which this version is in effect.
    std::int64_t activateMs = 0;
    std::shared_ptr<const configuration> config;
};

/// \brief The content of the configuration's row: the newest version, and the previous versions
/// that may still be in effect until it activates.
struct config_document
{
    config_version head;
    /// Oldest first.
    std::vector<config_version> previous;
};

/// \brief A daemon's response to a peer that can't read the store.
struct peer_config_response
{
    config_document document;
    /// Time since the responding daemon sent the read that confirmed its head; nothing if it has no
    /// valid confirmation.
    std::optional<duration> confirmedAge;
    /// The responding daemon's estimate of the platform's time, if it has one.
    std::optional<std::int64_t> nowMs;
    duration error{};
};

std::string toText(const config_version &v);
std::string toText(const config_document &d);
std::string toText(const peer_config_response &p);

tl::expected<config_version, config_error> parseConfigVersion(std::string_view text);
tl::expected<config_document, config_error> parseConfigDocument(std::string_view text);
tl::expected<peer_config_response, config_error> parsePeerConfigResponse(std::string_view text);

} // namespace azurehill
