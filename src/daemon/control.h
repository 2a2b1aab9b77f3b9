#pragma once

#include "config/config.h"
#include "daemon/call_stream.h"
#include "daemon/metrics.h"
#include "daemon/settings.h"
#include "inner/inner.h"
#include "journal/journal.h"
#include "ownership/ownership.h"
#include "platform/platform.h"
#include "program/programs.h"
#include "runtime/runtime.h"
#include "sched/call_quarantine.h"
#include "sched/sched.h"

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace azurehill {

/// \brief A call that a caller asks for, with what goes to the upstream.
struct call_spec
{
    call_request request;
    tenant_id tenant;
    std::string service;
    /// Model calls: the fields of the body other than the messages, and the new messages.
    std::string bodyFields;
    std::string newMessages;
    /// Tool and plain calls: the request to pass on.
    http_request passOn;
    /// When the call arrived.
    time_point acceptedAt;
};

/// \brief The scheduler's choice for a call.
struct call_placement
{
    call_number number = 0;
    upstream_id replica;
    std::int64_t priority = 0;
    /// Length of the prompt as estimated from its bytes.
    std::int64_t promptTokens = 0;
};

/// \brief A call that has begun, with all that its runner needs.
struct running_call
{
    call_spec spec;
    /// Messages of the turns before, as in program::history.
    std::string history;
    endpoint upstream;
    call_placement placement;
    service limits;
    std::string programClass;
    /// Tokens of the program that engines have computed before.
    std::int64_t heldTokens = 0;
    std::shared_ptr<call_stream> stream;
    /// How the replica lost the call, once it has ended; nothing if it answered.
    std::optional<send_loss> loss;
};

/// \brief What a caller's request leads to: following a running call, or a stored answer.
using call_start = std::variant<std::shared_ptr<call_stream>, closed_call>;

/// \brief The replica that a call goes to.
struct upstream_place
{
    call_number number = 0;
    upstream_id id;
    endpoint address;
    service limits;
};

struct create_request
{
    tenant_id tenant;
    std::string programClass;
    program_id parent;
    std::int64_t budgetTokens = 0;
    std::int64_t deadlineMs = 0;
};

/// \brief How a change of the configuration failed. After Unknown it may take effect or not.
enum class config_write_failure { Conflict, Unavailable, TooManyWaiting, Unknown };

struct config_write_error
{
    config_write_failure kind = config_write_failure::Unavailable;
    /// Conflict: the version that is there instead.
    std::optional<config_version> there;
};

/// \brief The control state of a daemon. All of it is used on the control thread only.
class control
{
public:
    /// \param runCall starts the runner of a call on a traffic thread.
    control(asio::io_context &context, const settings &s, const member &self,
            std::function<void(running_call)> runCall);

    /// \brief Starts the loops that follow the platform.
    void start();
    /// \brief Hands programs over and lets running calls end. \returns when nothing is left.
    awaitable<void> drain();

    awaitable<tl::expected<program_id, refusal>> createProgram(create_request request);
    awaitable<tl::expected<void, refusal>> endProgram(program_id id, end_reason reason);
    awaitable<tl::expected<call_start, refusal>> startCall(call_spec spec);
    /// \brief As startCall(), but refuses a program of another tenant as if it did not exist.
    awaitable<tl::expected<call_start, refusal>> startTenantCall(call_spec spec);
    /// \returns the tenant of \p id, if this daemon has the program.
    std::optional<tenant_id> tenantOf(const program_id &id) const;
    /// \brief Makes the end of a call durable. \returns whether it is.
    awaitable<bool> finishCall(running_call call, journal_record end);

    /// \brief Chooses a replica of \p service for a call without a program, and counts the call
    /// there.
    tl::expected<upstream_place, refusal> openPlainService(const std::string &service);
    void closeUpstream(call_number number);
    /// \returns why a request without a program may not be sent to a replica, or nothing.
    std::optional<refusal> checkQuarantine(const request_fingerprint &request) const;
    /// \brief A send of such a request to \p place has ended.
    /// \param loss how the replica lost it, or nothing if it answered.
    void onPlainSendEnded(const request_fingerprint &request, const upstream_place &place,
                          std::optional<send_loss> loss);
    /// \brief Notes that engines have computed \p tokens of \p id.
    void setHeldTokens(const program_id &id, std::int64_t tokens);
    /// \brief Moves a call that did not run from replica \p from to another one of \p service.
    /// \returns nothing when there is no other, or the lease no longer allows an effect.
    std::optional<upstream_place> moveCall(const std::string &service, call_number number);

    /// \returns the owner of \p id when that is another daemon.
    std::optional<member> otherOwner(const program_id &id) const;
    std::vector<member> lookUp(const std::optional<program_id> &id) const;
    std::optional<program> inspect(const program_id &id) const;
    std::vector<program_id> programIds() const;
    /// \returns the programs that this daemon owns, without their histories and answers.
    std::vector<program> programs() const;
    std::shared_ptr<const configuration> config() const { return m_config; }
    config_number configVersion() const { return m_configVersion; }
    const cell_view &view() const { return m_membership.view(); }
    /// \returns the response to a request of another daemon.
    std::string answerInner(const std::string &request) { return m_heartbeats.answer(request); }
    std::vector<replica> replicas() const;
    bool isReady() const;
    metrics &measures() { return m_metrics; }
    state_gauges gauges() const;

    /// \returns the preset that decides now, or why none certainly does: what a preset decides is
    /// refused then.
    tl::expected<preset, preset_unavailable_reason> presetInForce() const;
    /// \returns the version that decides now, or why none does.
    tl::expected<config_version, preset_unavailable_reason> configInForce() const;
    /// \returns what to tell a peer that can't read the store.
    std::optional<peer_config_response> configForPeer() const;
    /// \returns the newest version known, which may still wait for its activation.
    std::optional<config_version> configHead() const { return m_follower.head(); }
    /// \brief Reads the store if it can be reached. \returns the newest version known.
    awaitable<std::optional<config_version>> newestConfig();
    /// \returns the last versions, oldest first.
    awaitable<platform_client::result<std::vector<config_version>>> configHistory();
    /// \brief Stores a new configuration if the stored one still has number \p expected.
    awaitable<tl::expected<config_version, config_write_error>>
    storeConfig(std::shared_ptr<const configuration> config, std::string author,
                config_number expected);

private:
    struct commit_wait
    {
        std::optional<commit_result> result;
        notifier changed;
    };

    /// \brief A call that the scheduler has not answered yet.
    struct placement_wait
    {
        std::optional<tl::expected<call_placement, refusal>> answer;
        notifier changed;
    };

    awaitable<void> leaseLoop();
    awaitable<void> membershipLoop();
    awaitable<void> commitLoop();
    awaitable<void> configLoop();
    awaitable<void> hostsLoop();
    awaitable<void> schedulerLoop();
    awaitable<void> releaseLoop();

    bool isEngine(const std::string &name) const;
    awaitable<void> endOverdue();
    awaitable<void> sendReleases();
    awaitable<bool> sendRelease(release_order order, endpoint engine);
    void confirmRelease(const release_order &order);
    awaitable<void> reconcileEngine(std::size_t round);

    void stopIfSuperseded();
    awaitable<void> refreshView();
    awaitable<void> refreshLeases();
    awaitable<void> perform(membership_action action);
    transaction toTransaction(const change_view &change) const;
    transaction toTransaction(const delete_lease &drop) const;
    awaitable<bool> loadGained();
    awaitable<std::optional<std::vector<journal_batch>>> listBatches(std::string prefix);
    void adopt(const cell_view &view);
    awaitable<std::optional<row_version>> readConfig();
    void useCurrentConfig();
    awaitable<void> askPeers();
    std::vector<endpoint> configPeers() const;
    transaction configTransaction(const config_document &document, row_version there) const;
    awaitable<tl::expected<config_version, config_write_error>> writeConfig(transaction t,
                                                                            config_version version);
    awaitable<std::optional<bool>> isStored(config_version version);

    awaitable<commit_result> commit(journal_record record, commit_policy need);
    void adoptView();
    void dropFamily(const program_id &id);
    bool isRunning(const running_call &call) const;
    awaitable<void> closeTooLarge(running_call call);
    void abandonCall(const running_call &call, commit_result begun);
    awaitable<void> perform(commit_action action);
    awaitable<batch_outcome> writeBatch(write_batch write);
    awaitable<batch_outcome> readBack(journal_batch batch);
    void answerBatch(batch_outcome answer);
    void settleTickets(const commit_done &done);

    bool owns(const program_id &id) const;
    bool mayBegin(const program_id &id) const;
    std::set<program_id> runningFamilies() const;
    awaitable<void> settleCommits();
    std::optional<refusal> whyNotServing(const program_id &id) const;
    awaitable<tl::expected<call_start, refusal>> beginCall(call_spec spec, call_begun record);
    awaitable<void> settleOrphans();
    /// \returns the tokens that engines have computed for \p id.
    std::int64_t heldTokens(const program_id &id) const;
    /// \brief Counts the latency of \p id, which has just ended.
    void measureEnd(const program_id &id);

    /// \brief Waits until the scheduler dispatches or refuses the call.
    awaitable<tl::expected<call_placement, refusal>> placeCall(pending_call call);
    pending_call makePendingCall(const call_spec &spec);
    program_request makeProgramRequest(const program &p) const;
    std::optional<duration> refuseProgram(const program_created &created);
    void performScheduled();
    /// \returns the replica of a call that was dispatched at once.
    std::optional<upstream_id> takePlacement(call_number number);
    upstream_place placeOf(call_number number, const upstream_id &id,
                           const std::string &service) const;

    std::string viewKey() const { return "view/" + m_settings.cell; }
    std::string leasePrefix() const { return "lease/" + m_settings.cell + "/"; }
    std::string configKey() const { return "config/" + m_settings.cell; }
    std::string configHistoryPrefix() const { return configKey() + "/v"; }

    asio::io_context &m_context;
    settings m_settings;
    std::function<void(running_call)> m_runCall;
    platform_client m_platform;
    membership m_membership;
    ownership_history m_history;
    heartbeats m_heartbeats;
    commit_batcher m_batcher;
    program_registry m_book;
    scheduler m_scheduler;
    call_quarantine m_quarantine;
    program_reaper m_reaper;
    release_planner m_releases;
    std::shared_ptr<const configuration> m_config;
    config_number m_configVersion = 0;
    config_follower m_follower;
    std::size_t m_nextPeer = 0;
    fencing_number m_loadedView = 0;
    fencing_number m_adoptedView = 0;
    /// Grows when a program is dropped: a load that began before that is out of date.
    std::uint64_t m_drops = 0;
    /// Roots of families that this daemon owns and must read again.
    std::set<program_id> m_dropped;
    std::unordered_map<program_id, int> m_turnWaits;
    bool m_draining = false;
    metrics m_metrics;
    /// Tokens that engines have computed for each program; for the measure of wasted cache only.
    std::unordered_map<program_id, std::int64_t> m_heldTokens;
    timer m_commitTimer;
    std::vector<commit_action> m_commitActions;
    std::unordered_map<commit_ticket, std::shared_ptr<commit_wait>> m_commitWaits;
    std::unordered_map<program_id, std::shared_ptr<call_stream>> m_streams;
    call_number m_lastCall = 0;
    std::unordered_map<call_number, std::shared_ptr<placement_wait>> m_placementWaits;
    /// Programs whose next call waits for its replica, with what tells the end of the wait.
    std::unordered_map<program_id, std::shared_ptr<notifier>> m_placing;
};

} // namespace azurehill
