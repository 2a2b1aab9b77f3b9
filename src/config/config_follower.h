#pragma once

#include "config/config_document.h"
#include "config/platform_time.h"

#include <deque>

namespace azurehill {

struct config_follower_settings
{
    duration storePollInterval = seconds(1);
    /// How long a confirmed head may be relied on, from the moment the read was sent.
    duration validity = milliseconds(2500);
    /// From acceptance to activation: a poll, a slow answer and a validity, so that in ordinary
    /// running nobody has to refuse work at a change.
    duration activationDelay = seconds(4);
    /// A write that has not taken effect so long after it was sent never will: its connection was
    /// given up long before.
    duration lateWriteTimeout = seconds(30);
};

enum class config_action { ReadStore, QueryPeers };

/// \brief Why no preset decides now.
enum class preset_unavailable_reason { NoConfiguration, Unconfirmed, NoTime, Changing };

template <>
struct enum_names<preset_unavailable_reason>
{
    static constexpr std::array<std::string_view, 4> names
        = {"no_configuration", "unconfirmed", "no_time", "changing"};
};

/// \brief Why no change can be made: another version is there, no time is known, or too many
/// changes wait for their activation.
enum class proposal_error { Conflict, NoTime, TooManyWaiting };

/// \brief Follows the stored configuration. It never goes back, and no two followers decide by
/// different versions at one instant.
///
/// A new version takes effect in the store at some instant E, which nobody knows exactly. A
/// follower that does not know it yet relies on a read sent before E, so no longer than E plus the
/// validity. A follower that knows it uses it only when its activation time has certainly come and
/// a whole validity has passed since it was seen, hence since E; and the version before only while
/// the activation time has certainly not come. In between it decides nothing. This holds however
/// late a write takes effect.
class config_follower
{
public:
    explicit config_follower(config_follower_settings settings = {}) : m_settings(settings) { }

    /// \brief Takes in an answer of the store: the document, or nothing when there is none yet.
    void onStoreRead(time_point sentAt, time_point receivedAt,
                     std::optional<config_document> document,
                     std::optional<std::int64_t> platformMs);
    /// \brief Takes in the platform's time from a source other than its table, wrong by \p error.
    void onTimeSample(time_point now, std::int64_t platformMs, duration error)
    {
        m_time.addSample(now, now, platformMs, error);
    }
    /// \brief Takes in a peer's answer.
    void onPeerResponse(time_point sentAt, time_point receivedAt, peer_config_response answer);

    /// \returns what to read at \p now.
    std::vector<config_action> poll(time_point now);
    /// \returns when to poll again.
    time_point wakeAt(time_point now) const;

    /// \returns the version whose preset decides at \p now, or why none does.
    tl::expected<config_version, preset_unavailable_reason> inForce(time_point now) const;
    /// \returns the version for all that presets don't decide, by the best knowledge at \p now: in
    /// an outage programs still run by it.
    std::optional<config_version> current(time_point now) const;
    /// \returns the newest version known, which may still wait for its activation.
    std::optional<config_version> head() const;
    /// \returns what to tell a peer.
    std::optional<peer_config_response> forPeer(time_point now) const;
    const platform_time &time() const { return m_time; }

    /// \brief Makes the document of a change to version \p expected.
    tl::expected<config_document, proposal_error>
    propose(std::shared_ptr<const configuration> config, std::string id, std::string author,
            config_number expected, time_point now) const;

private:
    struct entry
    {
        config_version version;
        /// The store held it no later than here, by this host's clock.
        time_point firstSeenAt;
        /// The store held it no later than here, by the platform's; from the version after it.
        std::optional<std::int64_t> effectiveBeforeMs;
    };

    bool adopt(const config_document &document, time_point receivedAt);
    bool isConfirmed(time_point now) const;
    bool isSettled(const entry &e, time_point now, const time_bounds &bounds) const;

    config_follower_settings m_settings;
    platform_time m_time;
    /// Oldest first; the last is the head.
    std::deque<entry> m_entries;
    std::optional<time_point> m_confirmedAt;
    std::optional<time_point> m_storePolledAt;
    std::optional<time_point> m_peersQueriedAt;
};

} // namespace azurehill
