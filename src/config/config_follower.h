#pragma once

#include "config/config_document.h"
#include "config/platform_time.h"

#include <deque>

namespace azurehill {

struct config_follower_settings
{
    duration storePollInterval = seconds(1);
    /// Time for which a confirmed head may be relied on, counted from the sending of the read.
    duration confirmationValidity = milliseconds(2500);
    /// Time from acceptance to activation. It covers a poll interval, a slow response and a
    /// confirmation's validity, so that normally no daemon has to refuse work during a change.
    duration activationDelay = seconds(4);
    /// A write that has not taken effect within this time after it was sent never will, as its
    /// connection was closed long before.
    duration lateWriteTimeout = seconds(30);
};

enum class config_action { ReadStore, QueryPeers };

/// \brief Reason why no preset is in effect now.
enum class preset_unavailable_reason { NoConfiguration, Unconfirmed, NoTime, Changing };

template <>
struct enum_names<preset_unavailable_reason>
{
    static constexpr std::array<std::string_view, 4> names
        = {"no_configuration", "unconfirmed", "no_time", "changing"};
};

/// \brief Reason why no change can be proposed: the newest version is not the expected one, the
/// platform's time is unknown, or too many changes are waiting for activation.
enum class proposal_error { Conflict, NoTime, TooManyWaiting };

/// \brief Tracks the stored configuration and determines which version is in effect. It never
/// reverts to an older version, and no two followers use the presets of different versions at the
/// same instant.
///
/// The write of a new version takes effect in the store at an instant E, which no daemon knows
/// exactly. A follower that has not seen the version relies on a read sent before E, and so at the
/// latest until E plus the confirmation's validity. A follower that has seen it uses it only when
/// its activation time has certainly passed and a whole validity has passed since it was first
/// seen, hence since E. It uses the previous version only while the activation time has certainly
/// not been reached. In between, it uses no version's presets. This holds however late a write
/// takes effect.
class config_follower
{
public:
    explicit config_follower(config_follower_settings settings = {}) : m_settings(settings) { }

    /// \brief Processes the store's response to a read.
    /// \param document the stored document, if one exists.
    /// \param platformMs the platform's time in the response, if it has one.
    void onStoreRead(time_point sentAt, time_point receivedAt,
                     std::optional<config_document> document,
                     std::optional<std::int64_t> platformMs);
    /// \brief Adds a sample of the platform's time from a source other than its table, whose error
    /// is up to \p error.
    void onTimeSample(time_point now, std::int64_t platformMs, duration error)
    {
        m_time.addSample(now, now, platformMs, error);
    }
    /// \brief Processes a peer's response.
    void onPeerResponse(time_point sentAt, time_point receivedAt, peer_config_response response);

    /// \returns the reads that are due at \p now, and counts them as sent.
    std::vector<config_action> poll(time_point now);
    /// \returns the time of the next poll.
    time_point nextPollAt(time_point now) const;

    /// \returns the version whose preset is in effect at \p now, or the reason why there is none.
    tl::expected<config_version, preset_unavailable_reason> effectiveVersion(time_point now) const;
    /// \returns the version to use for everything that presets don't control. It needs no
    /// confirmation, so that programs keep running during an outage.
    std::optional<config_version> bestEffortVersion(time_point now) const;
    /// \returns the newest known version, which may not be active yet.
    std::optional<config_version> head() const;
    /// \returns the response to a peer's request, unless no version is known.
    std::optional<peer_config_response> makePeerResponse(time_point now) const;
    const platform_time &time() const { return m_time; }

    /// \brief Creates the document for a change based on version \p expected.
    tl::expected<config_document, proposal_error>
    propose(std::shared_ptr<const configuration> config, std::string id, std::string author,
            config_number expected, time_point now) const;

private:
    struct known_version
    {
        config_version version;
        /// The store contained this version no later than this, by this host's clock.
        time_point firstSeenAt;
        /// The same by the platform's clock; known from the acceptance of the next version.
        std::optional<std::int64_t> effectiveBeforeMs;
    };

    /// \brief Adds the versions of \p document that are newer than the head. Removes the oldest
    /// ones if they are certainly no longer in effect or exceed the maximum number of versions.
    /// \returns whether the head of \p document is at least as new as the known one.
    bool adopt(const config_document &document, time_point receivedAt);
    bool isConfirmed(time_point now) const;
    /// \returns whether no follower can still use a version older than \p e.
    bool isSettled(const known_version &e, time_point now, const time_bounds &bounds) const;

    config_follower_settings m_settings;
    platform_time m_time;
    /// Oldest first; the last one is the head.
    std::deque<known_version> m_entries;
    std::optional<time_point> m_confirmedAt;
    std::optional<time_point> m_storePolledAt;
    std::optional<time_point> m_peersQueriedAt;
};

} // namespace azurehill
