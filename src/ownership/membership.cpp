#include "ownership/membership.h"

#include "ownership/placement.h"

#include <algorithm>
#include <iterator>

namespace azurehill {

namespace {

/// Shortest time between two changes of the view that only give programs up: each change makes
/// every member look for gains.
constexpr duration minHandOverInterval = seconds(1);
/// Lives of a lease without a read of the view after which a daemon renews no more.
constexpr int maxTtlsWithoutView = 20;

} // namespace

membership::membership(member self, lease_settings settings)
    : m_self(std::move(self)), m_settings(settings), m_holder(settings), m_observer(settings)
{
    m_lease.daemon = m_self.daemon;
    m_lease.incarnation = m_self.incarnation;
}

bool membership::onView(const cell_view &view, time_point now)
{
    m_viewReadAt = now;
    const bool first = !m_viewRead;
    m_viewRead = true;
    m_regressedRowVersion.reset();
    if (!first && view.number <= m_view.number) {
        // A late answer, or a row that was lost. A write on this version tells: it can only
        // succeed when the row is really so, and it sets the number above all that were known.
        if (view.version != m_view.version)
            m_regressedRowVersion = view.version;
        return false;
    }
    const member *before = ownEntry();
    const std::vector<program_id> kept = before ? before->keeps : std::vector<program_id>();
    m_view = view;
    m_viewChangedAt = now;
    const member *after = ownEntry();
    if (after && after->keeps != kept)
        m_retainedChangedAt = now;
    for (const member &m : m_view.members)
        m_observer.watch(m.daemon, m.incarnation, now);
    updateOwnStatus();
    return true;
}

void membership::updateOwnStatus()
{
    const member *listed = m_view.find(m_self.daemon);
    const member *me = ownEntry();
    if (me)
        m_wasMember = true;
    else if (listed && m_wasMember)
        m_superseded = true;
    if (!me || !me->joining) {
        m_joiningSinceView = 0;
    } else if (m_joiningSinceView == 0) {
        m_joiningSinceView = m_view.number;
    }
}

const member *membership::ownEntry() const
{
    const member *me = m_view.find(m_self.daemon);
    return me && me->incarnation == m_self.incarnation ? me : nullptr;
}

bool membership::isMine(const member *owner) const
{
    return owner && owner == ownEntry();
}

void membership::setRunning(std::set<program_id> roots)
{
    m_running = std::move(roots);
}

void membership::setRunsRefusingConnections(std::set<daemon_run> runs)
{
    m_runsRefusingConnections = std::move(runs);
}

std::vector<program_id> membership::programsToRetain() const
{
    std::vector<program_id> keeps;
    for (const program_id &root : m_running) {
        const bool moves
            = m_stage != stage::Serving || !isMine(ownerAfterPendingChanges(m_view, root));
        if (moves && isMine(ownerOf(m_view, root)))
            keeps.push_back(root);
    }
    return keeps;
}

void membership::updatePreparedView()
{
    const member *me = ownEntry();
    const std::vector<program_id> wanted = programsToRetain();
    if (me && std::includes(me->keeps.begin(), me->keeps.end(), wanted.begin(), wanted.end()))
        m_lease.preparedView = m_view.number;
}

bool membership::ownsWithoutPendingMove(const program_id &program) const
{
    return m_stage == stage::Serving && isMine(ownerOf(m_view, program))
        && isMine(ownerAfterPendingChanges(m_view, program));
}

bool membership::isDrained() const
{
    const member *me = ownEntry();
    return !me || (me->draining && me->keeps.empty());
}

void membership::onLeases(const std::vector<lease_record> &leases, time_point sentAt,
                          time_point now)
{
    m_observer.onRead(leases, sentAt, now);
    for (const member &m : m_view.members)
        m_observer.watch(m.daemon, m.incarnation, now);
}

void membership::onRenewed(time_point sentAt)
{
    m_holder.onRenewed(sentAt);
}

void membership::onProgramsLoaded(fencing_number number)
{
    m_lease.loadedView = number;
}

void membership::drain()
{
    if (m_stage == stage::Serving)
        m_stage = stage::Draining;
}

void membership::leave()
{
    m_stage = stage::Leaving;
}

std::optional<renew_lease> membership::pollLease(time_point now)
{
    if (m_superseded || m_stage == stage::Leaving || now < m_holder.nextRenewalAt())
        return std::nullopt;
    // Joins wait for each member that renews. One that can't read the view would hold them for
    // ever, so it lets its lease lapse.
    if (m_viewRead && now > m_viewReadAt + maxTtlsWithoutView * m_settings.ttl)
        return std::nullopt;
    ++m_lease.counter;
    return renew_lease{m_lease};
}

std::vector<membership_action> membership::poll(time_point now)
{
    std::vector<membership_action> actions;
    const bool mayAct = m_holder.holds(now) || m_stage == stage::Leaving;
    if (!m_viewRead || m_superseded || !mayAct)
        return actions;
    updatePreparedView();
    if (auto change = nextChange(now))
        actions.emplace_back(std::move(*change));
    else if (auto drop = nextLeaseDeletion())
        actions.emplace_back(std::move(*drop));
    return actions;
}

bool membership::hasExpired(const member &m) const
{
    // A member may have lapsed, gone and come back in views that were not seen here. It renewed
    // before it came back, so a read sent after this view was known shows that; an older one
    // would remove a daemon that lives.
    if (m_observer.lastRead() < m_viewChangedAt)
        return false;
    const daemon_run run{m.daemon, m.incarnation};
    return m_observer.hasExpired(m.daemon, m.incarnation)
        || (m_runsRefusingConnections.count(run) > 0U && m_observer.hasMissedRenewal(run));
}

bool membership::othersArePrepared() const
{
    return std::all_of(m_view.members.begin(), m_view.members.end(), [this](const member &m) {
        if (m.daemon == m_self.daemon)
            return true;
        const lease_record *lease = m_observer.row(m.daemon);
        return lease && lease->incarnation == m.incarnation
            && lease->preparedView >= m_joiningSinceView;
    });
}

bool membership::isJoining() const
{
    const member *listed = m_view.find(m_self.daemon);
    // A restarted daemon takes over what its former run owned: nobody has to hand over.
    if (listed && listed->incarnation != m_self.incarnation)
        return listed->joining;
    if (!listed)
        return !m_view.members.empty();
    if (!listed->joining)
        return false;
    return !othersArePrepared();
}

std::optional<member> membership::nextOwnEntry(time_point now) const
{
    const member *me = ownEntry();
    if (m_stage == stage::Leaving || (m_stage == stage::Draining && !me))
        return std::nullopt;
    member next = m_self;
    next.draining = m_stage == stage::Draining;
    next.joining = isJoining();
    next.keeps = programsToRetain();
    const bool onlyGivesUp = me && !next.keeps.empty()
        && std::includes(me->keeps.begin(), me->keeps.end(), next.keeps.begin(), next.keeps.end());
    if (onlyGivesUp && now < m_retainedChangedAt + minHandOverInterval)
        next.keeps = me->keeps;
    return next;
}

std::optional<change_view> membership::nextChange(time_point now) const
{
    change_view change{
        m_regressedRowVersion.value_or(m_view.version), {0, m_view.number + 1, {}}, {}, {}};
    for (const member &m : m_view.members) {
        if (m.daemon == m_self.daemon)
            continue;
        if (m_stage == stage::Leaving || !hasExpired(m)) {
            change.next.members.push_back(m);
            continue;
        }
        const lease_record *lease = m_observer.row(m.daemon);
        change.checks.push_back({m.daemon, lease ? lease->version : 0});
        if (lease && lease->incarnation == m.incarnation)
            change.leasesToDelete.push_back(m.daemon);
    }
    if (auto self = nextOwnEntry(now))
        change.next.members.push_back(std::move(*self));
    else if (ownEntry())
        change.leasesToDelete.push_back(m_self.daemon);
    const auto byId = [](const member &a, const member &b) { return a.daemon < b.daemon; };
    std::sort(change.next.members.begin(), change.next.members.end(), byId);
    if (change.next.members == m_view.members && !m_regressedRowVersion)
        return std::nullopt;
    return change;
}

std::optional<delete_lease> membership::nextLeaseDeletion() const
{
    const auto owner = std::find_if(m_view.members.begin(), m_view.members.end(), acceptsPrograms);
    // One member does it, so that a cell of many daemons does not write the same thing many times.
    if (owner == m_view.members.end() || owner->daemon != m_self.daemon)
        return std::nullopt;
    for (const lease_record &lease : m_observer.abandoned()) {
        if (!m_view.find(lease.daemon))
            return delete_lease{{lease.daemon, lease.version}};
    }
    return std::nullopt;
}

bool membership::isActive(time_point now) const
{
    return m_holder.holds(now) && ownEntry();
}

bool membership::hasLeft() const
{
    return m_stage == stage::Leaving && !ownEntry();
}

} // namespace azurehill
