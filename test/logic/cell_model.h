#pragma once

#include "ownership/ownership.h"

#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace azurehill {

/// \brief The platform's table as far as ownership uses it: rows with versions.
struct table_model
{
    cell_view view;
    std::map<daemon_id, lease_record> leases;
    row_version lastVersion = 0;

    row_version leaseVersion(const daemon_id &id) const
    {
        const auto it = leases.find(id);
        return it == leases.end() ? 0 : it->second.version;
    }

    void renew(lease_record lease)
    {
        lease.version = ++lastVersion;
        leases[lease.daemon] = lease;
    }

    bool apply(const change_view &change)
    {
        if (change.expected != view.version)
            return false;
        for (const lease_check &check : change.checks) {
            if (leaseVersion(check.daemon) != check.version)
                return false;
        }
        view = change.next;
        view.version = ++lastVersion;
        for (const daemon_id &id : change.leasesToDelete)
            leases.erase(id);
        return true;
    }

    bool apply(const delete_lease &drop)
    {
        if (leaseVersion(drop.lease.daemon) != drop.lease.version)
            return false;
        leases.erase(drop.lease.daemon);
        return true;
    }

    std::vector<lease_record> allLeases() const
    {
        std::vector<lease_record> result;
        for (const auto &[id, lease] : leases)
            result.push_back(lease);
        return result;
    }
};

inline member makeMember(int index, int run)
{
    const std::string name(1, static_cast<char>('a' + index));
    return {{name}, std::to_string(run), name + ":1", name + ":2", {"dc"}};
}

inline const lease_settings lease;
constexpr duration pollPeriod = milliseconds(250);
inline const time_point start{seconds(1000)};
inline const duration removalBound = lease.ttl + 2 * lease.margin + pollPeriod;

/// What befalls one request to the table.
enum class fault { None, Lost, AnswerLost, AppliedLate, AnswerLate, AnswerTwice };
constexpr int faultCount = 6;

struct node
{
    std::unique_ptr<membership> logic;
    int run = 0;
    bool paused = false;
    time_point pausedAt;
    std::unique_ptr<ownership_history> history;
    fencing_number lastSeenView = 0;
    fencing_number loadedView = 0;
    /// Commits of each program that the daemon's memory knows of.
    std::map<program_id, int> book;
    std::set<program_id> running;
};

inline std::vector<program_id> testPrograms()
{
    constexpr int count = 12;
    std::vector<program_id> result;
    result.reserve(count);
    for (int i = 0; i < count; ++i)
        result.push_back({"p00" + std::to_string(i)});
    return result;
}

/// \brief Daemons around a table; every message between them can be lost, late or doubled.
class cell
{
public:
    explicit cell(int size) : m_nodes(static_cast<std::size_t>(size))
    {
        for (int i = 0; i < size; ++i)
            restart(i);
    }

    node &at(int i) { return m_nodes[static_cast<std::size_t>(i)]; }
    table_model &table() { return m_table; }
    time_point now() const { return m_now; }
    void advance(duration d) { m_now += d; }
    void crash(int i)
    {
        at(i).logic.reset();
        at(i).running.clear();
    }
    bool anyAlive() const
    {
        return std::any_of(m_nodes.begin(), m_nodes.end(),
                           [](const node &n) { return n.logic != nullptr; });
    }

    void restart(int i)
    {
        node &n = at(i);
        const member self = makeMember(i, ++m_runs);
        n = {};
        n.logic = std::make_unique<membership>(self, lease);
        n.run = m_runs;
        n.history = std::make_unique<ownership_history>(self.daemon, self.incarnation);
    }

    void pause(int i)
    {
        at(i).paused = true;
        at(i).pausedAt = m_now;
    }

    void resume(int i)
    {
        node &n = at(i);
        // The first thing that a paused holder must see, before any effect.
        if (n.paused && n.logic && m_now - n.pausedAt >= lease.ttl)
            RC_ASSERT(!n.logic->isActive(m_now));
        n.paused = false;
    }

    void deliver(std::size_t which)
    {
        if (m_late.empty())
            return;
        const auto it = m_late.begin() + static_cast<std::ptrdiff_t>(which % m_late.size());
        const auto event = std::move(*it);
        m_late.erase(it);
        event();
    }

    /// \brief Lets \p i take one step of its loop: 0 renews, 1 reads the view, 2 reads the leases,
    /// 3 acts.
    void step(int i, int what, fault f)
    {
        node &n = at(i);
        if (!n.logic || n.paused)
            return;
        if (what == 0)
            renew(i, f);
        else if (what == 1)
            readView(i, f);
        else if (what == 2)
            readLeases(i, f);
        else
            act(i, f);
        checkNode(n);
    }

    /// \brief Brings the memory of \p i up to its view, by the journals only if it must.
    void load(int i)
    {
        node &n = at(i);
        if (!n.logic || n.paused || n.lastSeenView == n.loadedView)
            return;
        const bool reads = n.history->mayHaveGainedSince(n.loadedView);
        for (const program_id &id : testPrograms()) {
            if (n.history->ownedSince(id, n.loadedView))
                continue;
            n.book.erase(id);
            if (reads)
                n.book[id] = m_commits[id];
        }
        n.loadedView = n.lastSeenView;
    }

    /// \brief Lets \p i begin (or go on with) a call of \p id, as far as it may.
    void beginCall(int i, const program_id &id)
    {
        node &n = at(i);
        if (!canCommit(n, id))
            return;
        if (n.logic->ownsWithoutPendingMove(id) || n.running.count(id) > 0U) {
            n.running.insert(id);
            commit(n, id);
        }
    }

    void endCall(int i, const program_id &id)
    {
        node &n = at(i);
        if (n.running.count(id) > 0U && canCommit(n, id)) {
            commit(n, id);
            n.running.erase(id);
        }
    }

    /// \brief Takes the next step of a drain that has begun.
    void continueDrain(int i)
    {
        node &n = at(i);
        if (!n.logic || n.paused)
            return;
        if (n.running.empty() && n.logic->isDrained())
            n.logic->leave();
        if (n.logic->hasLeft())
            crash(i);
    }

    void round(int i)
    {
        for (const int what : {0, 1, 2, 3, 1})
            step(i, what, fault::None);
    }

private:
    /// What a batch's check of the view's version lets through.
    bool canCommit(const node &n, const program_id &id) const
    {
        return n.logic && !n.paused && n.logic->isActive(m_now)
            && n.logic->view().version == m_table.view.version
            && n.loadedView == n.logic->view().number && isOwner(n, id);
    }

    void commit(node &n, const program_id &id)
    {
        // The owner's memory must hold all that former owners made durable.
        RC_ASSERT(n.book[id] == m_commits[id]);
        n.book[id] = ++m_commits[id];
    }

    /// \brief Sends a request: \p apply happens at the table and returns what the answer does.
    void send(int i, fault f, const std::function<std::function<void(membership &)>()> &apply)
    {
        if (f == fault::Lost)
            return;
        const int run = at(i).run;
        const auto answer = [this, i, run](const std::function<void(membership &)> &take) {
            if (at(i).logic && at(i).run == run && !at(i).paused)
                take(*at(i).logic);
            if (at(i).logic)
                noteView(at(i));
        };
        if (f == fault::AppliedLate) {
            m_late.emplace_back([apply, answer] { answer(apply()); });
            return;
        }
        const auto take = apply();
        if (f == fault::AnswerLost)
            return;
        if (f != fault::None)
            m_late.emplace_back([take, answer] { answer(take); });
        if (f != fault::AnswerLate)
            answer(take);
    }

    void renew(int i, fault f)
    {
        const auto renewal = at(i).logic->pollLease(m_now);
        if (!renewal)
            return;
        send(i, f, [this, r = *renewal, sentAt = m_now] {
            m_table.renew(r.lease);
            return [sentAt](membership &m) { m.onRenewed(sentAt); };
        });
    }

    void readView(int i, fault f)
    {
        send(i, f, [this] {
            return [this, read = m_table.view](membership &m) { m.onView(read, m_now); };
        });
    }

    void readLeases(int i, fault f)
    {
        send(i, f, [this, sentAt = m_now] {
            return [this, sentAt, read = m_table.allLeases()](membership &m) {
                m.onLeases(read, sentAt, m_now);
            };
        });
    }

    void act(int i, fault f)
    {
        at(i).logic->setRunning(at(i).running);
        for (const membership_action &action : at(i).logic->poll(m_now)) {
            send(i, f, [this, action, i] {
                if (const auto *change = std::get_if<change_view>(&action))
                    applyChange(*change, i);
                else
                    m_table.apply(std::get<delete_lease>(action));
                return [](membership &) {};
            });
        }
    }

    void applyChange(const change_view &change, int by)
    {
        const cell_view before = m_table.view;
        if (!m_table.apply(change))
            return;
        RC_ASSERT(m_table.view.number == before.number + 1);
        m_views[m_table.view.number] = m_table.view;
        for (const member &m : before.members) {
            const int i = m.daemon.value[0] - 'a';
            if (i != by && !m_table.view.find(m.daemon))
                checkRemovedMember(at(i), m);
        }
        for (const node &n : m_nodes) {
            for (const program_id &root : n.running)
                checkCallCanCommit(n, root);
        }
    }

    /// A member that others removed must not be one that lives and renews.
    void checkRemovedMember(const node &n, const member &m)
    {
        if (n.logic && n.logic->self().incarnation == m.incarnation)
            RC_ASSERT(!n.logic->isActive(m_now));
    }

    /// A call that runs on a daemon with a lease must be able to commit its end.
    void checkCallCanCommit(const node &n, const program_id &root)
    {
        if (n.logic && n.logic->isActive(m_now))
            RC_ASSERT(isOwner(n, root));
    }

    bool isOwner(const node &n, const program_id &id) const
    {
        const member *owner = ownerOf(m_table.view, id);
        return n.logic && owner && owner->incarnation == n.logic->self().incarnation;
    }

    void noteView(node &n)
    {
        const cell_view &view = n.logic->view();
        if (view.number > n.lastSeenView) {
            n.lastSeenView = view.number;
            n.history->onView(view);
        }
    }

    void checkNode(const node &n)
    {
        const cell_view &known = n.logic->view();
        if (known.number > 0) {
            RC_ASSERT(m_views.count(known.number) == 1U);
            RC_ASSERT(m_views[known.number].members == known.members);
        }
        // A batch checks the row's version: only who knows the newest view commits.
        const bool commits = known.version == m_table.view.version;
        RC_ASSERT(commits == (known.number == m_table.view.number));
    }

    std::vector<node> m_nodes;
    table_model m_table;
    std::map<fencing_number, cell_view> m_views;
    std::deque<std::function<void()>> m_late;
    time_point m_now = start;
    int m_runs = 0;
    std::map<program_id, int> m_commits;
};

/// Rounds of all daemons without a fault, for longer than it takes to remove a dead one.
inline void settle(cell &c, int size)
{
    // A join waits for the next renewal of each other member after its own announcement.
    const time_point until = c.now() + removalBound + 2 * lease.renewalInterval + 6 * pollPeriod;
    while (c.now() < until) {
        for (int i = 0; i < size; ++i)
            c.round(i);
        c.advance(pollPeriod);
    }
}

} // namespace azurehill
