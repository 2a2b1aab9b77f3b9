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

/// \brief Number of an accepted configuration; 0 stands for none.
using config_number = std::uint64_t;

/// \brief One accepted configuration. Times are milliseconds on the platform's time line.
struct config_version
{
    config_number number = 0;
    /// Random id of the write, by which its writer finds it again after a lost answer.
    std::string id;
    std::string author;
    /// The writer had read the version before this one no later than here.
    std::int64_t acceptedMs = 0;
    /// From here on it is in force.
    std::int64_t activateMs = 0;
    std::shared_ptr<const configuration> config;
};

/// \brief What the configuration's row holds: the newest version, and those before it that may
/// still be in force while it waits for its activation.
struct config_document
{
    config_version head;
    /// Oldest first.
    std::vector<config_version> before;
};

/// \brief What a daemon tells a peer that can't read the store.
struct peer_config_response
{
    config_document document;
    /// How long ago the peer's own confirmation began, or nothing when it has none.
    std::optional<duration> confirmedAge;
    /// The platform's time as the peer estimates it, if it can.
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
