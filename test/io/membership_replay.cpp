#include "io/membership_replay.h"

#include <algorithm>

namespace azurehill::test {

namespace {

constexpr std::int64_t ipAndUdpBytes = 28;
/// Fraction of the reads that read all rows, as in replica_discovery.
constexpr double fullReadShare = 1.0 / 32;

std::string rowKey(int row)
{
    return "row-" + std::to_string(10'000 + row);
}

std::string nameOf(int daemon)
{
    return "host-" + std::to_string(daemon);
}

member_state stateOf(int daemon)
{
    member_state m;
    m.name = {nameOf(daemon)};
    m.incarnation = 1'764'738'000'000 + daemon;
    m.version = 1;
    const std::string ip
        = "10.1." + std::to_string(daemon / 250) + "." + std::to_string(daemon % 250 + 1);
    m.clients = {ip, 8080};
    m.peers = {ip, std::uint16_t(daemon)};
    m.gossip = {ip, std::uint16_t(10'000 + daemon)};
    m.dataCentre = {"zone-" + std::to_string(daemon % 5)};
    m.serving = true;
    m.storeReachable = true;
    return m;
}

endpoint addressOf(int daemon)
{
    return stateOf(daemon).gossip;
}

int indexOf(const endpoint &gossip)
{
    return gossip.port - 10'000;
}

} // namespace

membership_replay::membership_replay(int size, start how)
{
    for (int i = 0; i < size; ++i)
        m_daemons.emplace_back(stateOf(i), std::uint64_t(i) + 1);
    for (int i = 0; i < size; ++i) {
        for (int other = 0; other < size; ++other)
            m_daemons[std::size_t(i)].onStoredMember(stateOf(other), m_now);
        const auto phase = std::uniform_int_distribution<int>(0, 199)(m_random);
        push(m_now + milliseconds(phase), {i, -1, {}, event_kind::RoundOrMessage});
    }
    if (how == start::Joined)
        introduceAll();
}

void membership_replay::introduceAll()
{
    for (membership_protocol &daemon : m_daemons) {
        for (const membership_protocol &other : m_daemons) {
            probe_message message;
            message.kind = probe_kind::Ack;
            message.sender = other.self().name;
            message.incarnation = other.self().incarnation;
            message.version = other.self().version;
            daemon.onMessage(message, other.self().gossip, m_now);
        }
        daemon.takeChanges();
    }
}

void membership_replay::push(time_point at, event e)
{
    m_events.emplace(std::pair(at, ++m_lastNumber), std::move(e));
}

duration membership_replay::latency()
{
    return milliseconds(std::uniform_int_distribution<int>(1, 5)(m_random));
}

void membership_replay::advance(duration time)
{
    const time_point end = m_now + time;
    while (!m_events.empty() && m_events.begin()->first.first <= end) {
        auto next = m_events.extract(m_events.begin());
        m_now = next.key().first;
        event &e = next.mapped();
        if (m_stopped.contains(e.daemon))
            m_heldEvents[e.daemon].push_back(std::move(e));
        else
            process(e);
    }
    m_now = end;
}

void membership_replay::stop(int daemon)
{
    m_stopped.insert(daemon);
    m_everStopped.insert(daemon);
}

void membership_replay::unfreeze(int daemon)
{
    m_stopped.erase(daemon);
    for (event &e : m_heldEvents[daemon])
        push(m_now, std::move(e));
    m_heldEvents.erase(daemon);
}

void membership_replay::send(int from, const probe_datagram &datagram)
{
    if (countsBytes)
        bytes += std::int64_t(encodeProbe(datagram.message).size()) + ipAndUdpBytes;
    const int target = indexOf(datagram.to);
    const bool isLost = std::uniform_real_distribution<double>(0, 1)(m_random) < m_lossRate;
    if (!isLost && !m_cutLinks.contains({from, target}))
        push(m_now + latency(), {target, from, datagram.message, event_kind::RoundOrMessage});
}

void membership_replay::count(int observer, const std::vector<member_change> &changes)
{
    if (observer == m_ignoredObserver)
        return;
    for (const member_change &c : changes) {
        const bool hasRun = !m_everStopped.contains(indexOf(c.member.gossip));
        falseDeaths += !c.isAlive && hasRun ? 1 : 0;
    }
}

int membership_replay::countSeeingAlive(int daemon) const
{
    int holders = 0;
    for (int i = 0; i < int(m_daemons.size()); ++i) {
        if (i == daemon || m_stopped.contains(i))
            continue;
        const auto *known = m_daemons[std::size_t(i)].members().find({nameOf(daemon)});
        holders += known && known->isAlive() ? 1 : 0;
    }
    return holders;
}

bool membership_replay::isAgreed() const
{
    const int running = int(m_daemons.size() - m_stopped.size());
    for (int i = 0; i < int(m_daemons.size()); ++i) {
        if (countSeeingAlive(i) != (m_stopped.contains(i) ? 0 : running - 1))
            return false;
    }
    return true;
}

void membership_replay::followTable(duration bound)
{
    m_turns = {bound, m_daemons.size()};
    m_copies.resize(m_daemons.size());
    changeTable();
    schedulePolls();
}

void membership_replay::followLongTable(duration bound, int rows, int pageRows, duration pageTime)
{
    m_turns = {bound, m_daemons.size()};
    m_copies.resize(m_daemons.size());
    m_pageRows = std::size_t(pageRows);
    m_pageTime = pageTime;
    for (int i = 0; i < rows; ++i) {
        ++m_storeVersion;
        m_table.push_back({{"t", "", rowKey(i)}, "value", m_storeVersion});
    }
    schedulePolls();
}

void membership_replay::schedulePolls()
{
    m_followsSince = m_now;
    for (int i = 0; i < int(m_daemons.size()); ++i) {
        const double phase = std::uniform_real_distribution<double>(0, 1)(m_random);
        const auto wait = std::chrono::duration_cast<duration>(phase * pollInterval(m_turns));
        push(m_now + wait, {i, -1, std::nullopt, event_kind::TablePoll});
        const auto untilCheck
            = std::chrono::duration_cast<duration>(phase * freshnessCheckInterval(m_turns));
        push(m_now + untilCheck, {i, -1, std::nullopt, event_kind::FreshnessCheck});
    }
}

store_version membership_replay::changeRow(int row)
{
    stored_row &changed = m_table[std::size_t(row)];
    changed.version = ++m_storeVersion;
    m_history.push_back(changed);
    return m_storeVersion;
}

void membership_replay::changeTable()
{
    ++m_storeVersion;
    m_table.push_back(
        {{"t", "", "row-" + std::to_string(m_storeVersion)}, "value", m_storeVersion});
    if (m_table.size() > 3)
        m_table.erase(m_table.begin());
}

row_page membership_replay::tablePage() const
{
    return {m_table, m_storeVersion};
}

void membership_replay::pollTable(int daemon)
{
    table_cache &copy = m_copies[std::size_t(daemon)];
    const double randomFraction = std::uniform_real_distribution<double>(0, 1)(m_random);
    if (isReadDue(m_turns, copy.age(m_now), randomFraction) && canReadTable(daemon))
        readTable(daemon);
    push(m_now + pollInterval(m_turns), {daemon, -1, std::nullopt, event_kind::TablePoll});
}

bool membership_replay::canReadTable(int daemon) const
{
    return !m_withoutStore.contains(daemon) && !m_failingReads.contains(daemon);
}

void membership_replay::readTable(int daemon)
{
    table_cache &copy = m_copies[std::size_t(daemon)];
    if (m_pageRows == 0) {
        ++tableReads;
        copy.onRead(tablePage(), m_now);
        return;
    }
    const bool isFull = std::uniform_real_distribution<double>(0, 1)(m_random) < fullReadShare;
    if (isFull || copy.version() == 0)
        readAllRows(daemon);
    else
        readChanges(daemon);
}

void membership_replay::readChanges(int daemon)
{
    ++tableReads;
    table_cache &copy = m_copies[std::size_t(daemon)];
    copy.onFeed(changesSince(copy.version()), m_now);
}

row_page membership_replay::changesSince(store_version after) const
{
    row_page page;
    page.version = m_storeVersion;
    for (const stored_row &row : m_history) {
        if (row.version > after)
            page.rows.push_back(row);
    }
    return page;
}

void membership_replay::readAllRows(int daemon)
{
    if (m_reads.contains(daemon))
        return;
    ++tableReads;
    m_reads[daemon].began = m_now;
    readNextPage(daemon);
}

void membership_replay::readNextPage(int daemon)
{
    read_in_progress &read = m_reads.at(daemon);
    const std::size_t end = std::min(read.nextRow + m_pageRows, m_table.size());
    row_page page;
    page.version = m_storeVersion;
    for (; read.nextRow < end; ++read.nextRow)
        page.rows.push_back(m_table[read.nextRow]);
    read.pages.add(std::move(page));
    if (end < m_table.size()) {
        push(m_now + m_pageTime, {daemon, -1, std::nullopt, event_kind::NextPage});
        return;
    }
    row_page table = read.pages.take();
    applyFeed(table, changesSince(table.version));
    m_copies[std::size_t(daemon)].onRead(table, read.began);
    m_reads.erase(daemon);
}

void membership_replay::checkFreshness(int daemon)
{
    const table_cache &copy = m_copies[std::size_t(daemon)];
    if (const auto age = copy.age(m_now)) {
        // The store answers the daemon's other calls, unless the daemon is cut off.
        const duration inTouchFor = m_now - m_followsSince;
        const bool isCut = m_withoutStore.contains(daemon);
        const copy_freshness state{*age, isCut ? inTouchFor : duration::zero(),
                                   isCut ? duration::zero() : inTouchFor};
        if (m_pageRows != 0 && isRefreshDue(m_turns, state) && canReadTable(daemon))
            readChanges(daemon);
        if (isCopyOutdated(m_turns, state))
            m_outdated.insert(daemon);
        else
            m_outdated.erase(daemon);
    }
    push(m_now + freshnessCheckInterval(m_turns),
         {daemon, -1, std::nullopt, event_kind::FreshnessCheck});
}

int membership_replay::daemonsActingOnOlder(int row, store_version version) const
{
    int acting = 0;
    for (std::size_t i = 0; i < m_copies.size(); ++i) {
        const int daemon = int(i);
        if (m_stopped.contains(daemon) || m_outdated.contains(daemon))
            continue;
        const auto &rows = m_copies[i].rows();
        const auto found = rows.find(rowKey(row));
        acting += found == rows.end() || found->second.version < version ? 1 : 0;
    }
    return acting;
}

int membership_replay::outdatedDaemons() const
{
    return int(m_outdated.size());
}

void membership_replay::onDigests(int daemon)
{
    for (const peer_digest &received : m_daemons[std::size_t(daemon)].takeDigests()) {
        if (m_copies.empty())
            return;
        const int other = received.peer.port;
        table_cache &copy = m_copies[std::size_t(daemon)];
        const bool isBehind
            = copy.onDigest(received.digest, received.askedAt) == digest_comparison::Behind;
        const bool isReached = !m_stopped.contains(other) && !m_cutLinks.contains({daemon, other});
        if (isBehind && isReached) {
            const table_cache &theirs = m_copies[std::size_t(other)];
            const bool isApplied
                = copy.onChanges(theirs.changesSince(copy.version(), m_now), m_now);
            // As replica_discovery does: changes that don't fit its copy make the daemon read.
            const bool isUnfit = !isApplied && copy.version() < received.digest.version;
            if (m_pageRows != 0 && isUnfit && canReadTable(daemon))
                readTable(daemon);
        }
    }
}

int membership_replay::daemonsBehind() const
{
    int behind = 0;
    for (std::size_t i = 0; i < m_copies.size(); ++i) {
        if (m_stopped.contains(int(i)))
            continue;
        const auto &rows = m_copies[i].rows();
        const bool isSame = rows.size() == m_table.size()
            && std::all_of(m_table.begin(), m_table.end(), [&](const stored_row &row) {
                                const auto found = rows.find(row.name.key);
                                return found != rows.end() && found->second.version == row.version;
                            });
        behind += isSame ? 0 : 1;
    }
    return behind;
}

duration membership_replay::oldestCopy() const
{
    duration oldest = duration::zero();
    for (std::size_t i = 0; i < m_copies.size(); ++i) {
        if (!m_stopped.contains(int(i)))
            oldest = std::max(oldest, m_copies[i].age(m_now).value_or(duration::max()));
    }
    return oldest;
}

void membership_replay::processTableEvent(const event &e)
{
    if (e.kind == event_kind::TablePoll)
        pollTable(e.daemon);
    else if (e.kind == event_kind::FreshnessCheck)
        checkFreshness(e.daemon);
    else
        readNextPage(e.daemon);
}

void membership_replay::process(const event &e)
{
    if (e.kind != event_kind::RoundOrMessage) {
        processTableEvent(e);
        return;
    }
    membership_protocol &daemon = m_daemons[std::size_t(e.daemon)];
    if (!m_copies.empty()) {
        if (const auto digest = m_copies[std::size_t(e.daemon)].digest(m_now))
            daemon.setReplicaDigest(*digest, m_now);
    }
    std::vector<probe_datagram> out;
    if (e.message) {
        out = daemon.onMessage(*e.message, addressOf(e.from), m_now);
    } else {
        out = daemon.onRound(m_now);
        push(m_now + round, {e.daemon, -1, {}, event_kind::RoundOrMessage});
    }
    count(e.daemon, daemon.takeChanges());
    onDigests(e.daemon);
    for (const probe_datagram &d : out)
        send(e.daemon, d);
}

} // namespace azurehill::test
