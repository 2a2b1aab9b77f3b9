#pragma once

#include "dispatch/dispatch.h"
#include "members/datagram_socket.h"
#include "members/member_state.h"
#include "routes/routes.h"
#include "runtime/timer.h"
#include "turns/budget_holder.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace azurehill {

/// \brief Result of a request for a slot: the dispatcher did not answer in time, so the daemon has
/// to decide by itself.
struct dispatcher_unreachable
{ };

/// \brief A granted slot, which its holder has to release.
struct held_slot
{
    std::uint64_t number = 0;
    replica_incarnation replica;
    std::int64_t cachedTokens = 0;
    /// How long the request waited for it.
    duration waited = duration::zero();
};

using slot_result = std::variant<held_slot, slot_refusal, dispatcher_unreachable>;

/// \brief End of a turn at the slot that it held.
struct slot_end
{
    send_outcome outcome = send_outcome::Cancelled;
    /// Output tokens that may have reached the client.
    std::int64_t usedTokens = 0;
    /// Mean time between the events of the answer in milliseconds; 0 if unknown.
    double msPerEvent = 0;
};

/// \brief Client and server of the slot protocol: requests slots for the turns of this daemon, and
/// runs the dispatchers of the groups that this daemon dispatches. Used on the traffic thread.
class slot_exchange
{
public:
    /// \param budgets holds the tokens of the programs that this daemon dispatches; must outlive
    /// this object.
    slot_exchange(const asio::any_io_executor &executor, budget_holder &budgets);

    /// \brief Starts the exchange, and binds \p address for the datagrams of other daemons.
    /// \returns the bound port, or 0 on failure.
    std::uint16_t start(const endpoint &address);
    /// \brief Sets the state of this daemon and of the other live daemons.
    void setMembers(member_state self, std::vector<member_state> others);
    /// \brief Sets the replicas of the dispatched services.
    void setReplicas(std::vector<replica_entry> listed);
    /// \brief Sets the services whose engines are dispatched.
    void setServices(std::set<std::string> services);

    const std::set<std::string> &services() const { return m_services; }
    /// \returns whether slots of \p service are to be requested at present.
    bool isDispatched(const std::string &service) const { return m_services.contains(service); }
    /// \returns the load of all groups that this daemon dispatches.
    dispatcher_gauges gauges(time_point now) const;
    /// \brief Requests a slot and waits for the answer.
    /// \param request the request; its ticket is set here.
    /// \param wait timer to cancel when \p isWanted has become false.
    awaitable<slot_result> acquire(slot_request request, std::shared_ptr<timer> wait,
                                   std::function<bool()> isWanted);
    /// \brief Releases the slot \p number, however its turn has ended. Without effect for a slot
    /// that was released already.
    void release(std::uint64_t number, const slot_end &end);

private:
    using group_key = std::pair<std::string, std::uint32_t>;
    /// \brief A request of this daemon that waits for a slot or holds one.
    struct own_ticket
    {
        slot_request request;
        std::shared_ptr<timer> wait;
        replica_incarnation replica;
        /// The dispatcher that was asked last.
        daemon_id dispatcher;
        time_point askedAt;
        int transmissions = 0;
        /// Whether that dispatcher has answered.
        bool isAcknowledged = false;
        std::optional<slot_result> result;
    };
    using own_ticket_ptr = std::shared_ptr<own_ticket>;
    struct dispatched_group
    {
        std::unique_ptr<program_dispatcher> dispatcher;
        /// When this daemon was last known to dispatch the group.
        time_point chosenAt;
    };

    group_key groupOf(const std::string &service, const program_id &program) const;
    daemon_id dispatcherOf(const group_key &group) const;
    const member_state *findMember(const daemon_id &name) const;
    bool isSuspect(const daemon_id &dispatcher) const;

    void onDatagram(std::string_view text, const endpoint &from);
    void send(const daemon_id &daemon, const slot_message &message);
    /// \brief Processes an answer of the daemon \p from.
    void onAnswer(const slot_message &answer);
    void finish(std::uint64_t number, slot_result result);

    /// \brief Sends the request of \p ticket if that is due.
    /// \returns false if its dispatcher counts as unreachable.
    bool sendIfDue(own_ticket &ticket);
    awaitable<void> renewTickets();
    void sendRenewals();
    /// \brief Sends \p renewal, whose tickets are in order of their numbers, in one or more parts.
    void sendInParts(const daemon_id &dispatcher, const slot_renewal &renewal);

    /// \returns the dispatcher of the group if this daemon dispatches it, or null.
    program_dispatcher *findDispatcher(const group_key &group);
    void onRequest(const slot_request &request);
    void onRelease(const slot_release &release);
    void onRenewal(const slot_renewal &renewal);
    /// \brief Starts and stops dispatchers by the members and replicas.
    void updateDispatchers();
    void setReplicasOf(const group_key &group, program_dispatcher &dispatcher) const;
    awaitable<void> runDispatchers();
    /// \brief Carries out the decisions of the dispatcher of \p group.
    void executeDecisions(const group_key &group);
    /// \brief Tells the daemon of \p decision, which is a grant, once its tokens are held.
    void confirmGrant(const group_key &group, const slot_decision &decision);
    awaitable<void> holdAndConfirm(group_key group, slot_request request, slot_grant grant);
    void logLoad(time_point now);

    asio::any_io_executor m_executor;
    budget_holder &m_budgets;
    datagram_socket m_socket;
    timer m_tick;
    member_state m_self;
    std::vector<member_state> m_others;
    std::vector<dispatcher_candidate> m_candidates;
    std::set<std::string> m_services;
    std::vector<replica_entry> m_listed;
    /// Number of listed replicas by service.
    std::map<std::string, std::size_t, std::less<>> m_replicaCounts;
    std::map<group_key, dispatched_group> m_dispatched;
    /// Addresses of the daemons that sent messages.
    std::map<daemon_id, endpoint> m_addresses;
    /// Grants whose tokens are being held.
    std::set<slot_ticket> m_unconfirmed;
    std::uint64_t m_lastNumber = 0;
    std::map<std::uint64_t, own_ticket_ptr> m_tickets;
    /// Time of the latest message from each dispatcher, and the end of its unreachable period.
    std::map<daemon_id, time_point> m_heardAt;
    std::map<daemon_id, time_point> m_suspectUntil;
    time_point m_loadLoggedAt;
};

/// \returns the address at which \p member receives slot messages: two ports after the gossip port.
endpoint slotAddress(const member_state &member);

} // namespace azurehill
