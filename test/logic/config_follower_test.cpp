#include "config/config.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>

using namespace azurehill;

namespace {

constexpr std::int64_t startMs = 1'000'000;

std::shared_ptr<const configuration> anyConfig()
{
    configuration c;
    for (std::size_t i = 0; i < enum_names<preset_name>::names.size(); ++i)
        c.presets[static_cast<preset_name>(i)];
    return std::make_shared<const configuration>(c);
}

time_point at(std::int64_t ms)
{
    return time_point(milliseconds(ms));
}

/// \brief The n-th version, which is in force from \p activateMs on.
config_document versionOf(config_number n, std::int64_t acceptedMs, std::int64_t activateMs)
{
    return {{n, "id" + std::to_string(n), "ana", acceptedMs, activateMs, anyConfig()}, {}};
}

std::optional<proposal_error>
proposalErrorOf(const tl::expected<config_document, proposal_error> &p)
{
    return p ? std::nullopt : std::optional(p.error());
}

/// \returns why no version decides; nothing when one does.
std::optional<preset_unavailable_reason> unavailableReason(const config_follower &f, time_point now)
{
    const auto decided = f.inForce(now);
    return decided ? std::nullopt : std::optional(decided.error());
}

/// \brief Head of the store, and how it came there.
struct store_model
{
    std::vector<config_document> accepted;

    /// \brief Applies the write of \p d if it was made to the version that is there.
    bool write(const config_document &d)
    {
        if (d.head.number != accepted.size() + 1)
            return false;
        accepted.push_back(d);
        return true;
    }
    std::optional<config_document> head() const
    {
        return accepted.empty() ? std::nullopt : std::optional(accepted.back());
    }
};

/// \brief An answer or a write on its way.
struct message
{
    std::int64_t storeAt = 0;
    std::int64_t arriveAt = 0;
    std::int64_t sentAt = 0;
    bool lost = false;
    bool isWrite = false;
    bool reachedStore = false;
    std::optional<config_document> document;
    std::optional<peer_config_response> peer;
    std::int64_t platformMs = 0;
};

/// \brief A daemon of the simulation, whose clock shows another time than the platform's.
struct node
{
    config_follower follower;
    std::int64_t clockOffset = 0;
    std::int64_t outageFrom = 0;
    std::int64_t outageTo = 0;
    std::vector<message> messages;
    config_number lastUsed = 0;
    std::int64_t lastEffectiveMs = 0;

    time_point clock(std::int64_t ms) const { return at(ms + clockOffset); }
    bool isCutOff(std::int64_t ms) const { return ms >= outageFrom && ms < outageTo; }
};

constexpr std::int64_t stepMs = 10;
constexpr std::int64_t durationMs = 25'000;

class simulation
{
public:
    /// \param faulty whether messages get lost or late and daemons cut off.
    explicit simulation(bool faulty) : m_faulty(faulty), m_nodes(4)
    {
        for (node &n : m_nodes) {
            n.clockOffset = *rc::gen::inRange<std::int64_t>(0, 1'000'000);
            if (m_faulty && *rc::gen::inRange(0, 2) == 0) {
                n.outageFrom = startMs + *rc::gen::inRange<std::int64_t>(0, durationMs);
                n.outageTo = n.outageFrom + *rc::gen::inRange<std::int64_t>(0, 10'000);
            }
        }
        const auto writes = *rc::gen::inRange(1, 6);
        for (int i = 0; i < writes; ++i)
            m_writeTimes.push_back(
                startMs + *rc::gen::inRange<std::int64_t>(0, durationMs / stepMs) * stepMs);
        // The first configuration, and a race of two operators.
        m_writeTimes.push_back(startMs + 1000);
        m_raceAt = startMs + 8000;
    }

    void run()
    {
        for (std::int64_t now = startMs; now < startMs + durationMs; now += stepMs) {
            for (node &n : m_nodes) {
                deliver(n, now);
                poll(n, now);
            }
            const auto due = std::count(m_writeTimes.begin(), m_writeTimes.end(), now);
            for (int i = 0; i < due; ++i)
                propose(m_nodes[*rc::gen::inRange<std::size_t>(0, m_nodes.size())], now);
            if (now == m_raceAt) {
                propose(m_nodes[0], now);
                propose(m_nodes[1], now);
            }
            check(now);
        }
    }

private:
    std::int64_t delay(bool write)
    {
        if (!m_faulty)
            return *rc::gen::inRange<std::int64_t>(1, 100);
        // A write may stay on its way for longer than the activation delay.
        const std::int64_t longest = *rc::gen::inRange(0, 8) == 0 ? (write ? 9000 : 3000) : 300;
        return *rc::gen::inRange<std::int64_t>(1, longest);
    }

    void send(node &n, std::int64_t now, message m)
    {
        m.sentAt = now;
        m.storeAt = now + delay(m.isWrite);
        m.arriveAt = m.storeAt + delay(false);
        m.lost = n.isCutOff(now) || (m_faulty && *rc::gen::inRange(0, 10) == 0);
        n.messages.push_back(std::move(m));
    }

    void poll(node &n, std::int64_t now)
    {
        for (const config_action a : n.follower.poll(n.clock(now))) {
            if (a == config_action::ReadStore) {
                send(n, now, {});
                continue;
            }
            const node &peer = m_nodes[*rc::gen::inRange<std::size_t>(0, m_nodes.size())];
            message m;
            m.peer = peer.follower.forPeer(peer.clock(now));
            if (m.peer)
                send(n, now, std::move(m));
        }
    }

    void propose(node &n, std::int64_t now)
    {
        const auto head = n.follower.head();
        auto d = n.follower.propose(anyConfig(), std::to_string(now), "ana",
                                    head ? head->number : 0, n.clock(now));
        if (!d)
            return;
        message m;
        m.isWrite = true;
        m.document = std::move(*d);
        send(n, now, std::move(m));
    }

    void deliver(node &n, std::int64_t now)
    {
        for (message &m : n.messages) {
            if (!m.reachedStore && now >= m.storeAt) {
                m.reachedStore = true;
                if (m.isWrite) {
                    // What is lost of a write may be its answer only.
                    if (m_store.write(*m.document))
                        m_acceptedAt[m.document->head.number] = now;
                } else if (!m.peer) {
                    m.document = m_store.head();
                }
                m.platformMs = now;
            }
        }
        const auto arrived = [&](const message &m) { return now >= m.arriveAt; };
        for (const message &m : n.messages) {
            if (!arrived(m) || m.lost || m.isWrite)
                continue;
            if (m.peer)
                n.follower.onPeerResponse(n.clock(m.sentAt), n.clock(now), *m.peer);
            else
                n.follower.onStoreRead(n.clock(m.sentAt), n.clock(now), m.document, m.platformMs);
        }
        n.messages.erase(std::remove_if(n.messages.begin(), n.messages.end(), arrived),
                         n.messages.end());
    }

    void check(std::int64_t now)
    {
        std::optional<config_number> used;
        for (node &n : m_nodes) {
            const auto v = n.follower.inForce(n.clock(now));
            if (v) {
                RC_ASSERT(v->number >= n.lastUsed); // never reverts
                RC_ASSERT(!used || *used == v->number); // one preset at an instant
                RC_ASSERT(m_store.accepted[v->number - 1].head.id == v->id); // the winner's
                RC_ASSERT(v->activateMs <= now);
                used = v->number;
                n.lastUsed = v->number;
            }
            if (!m_faulty)
                checkConnected(n, v.has_value(), now);
        }
    }

    void checkConnected(node &n, bool decides, std::int64_t now)
    {
        if (decides)
            n.lastEffectiveMs = now;
        if (n.lastUsed == 0)
            return;
        // Nobody refuses work for longer than the errors of the clock around each change.
        const auto changes = static_cast<std::int64_t>(m_acceptedAt.size());
        RC_ASSERT(now - n.lastEffectiveMs <= 300 * changes);
        for (const auto &[number, acceptedAt] : m_acceptedAt) {
            if (now >= acceptedAt + 5000)
                RC_ASSERT(n.lastUsed >= number); // in force everywhere within 5 s
        }
    }

    bool m_faulty;
    std::vector<node> m_nodes;
    store_model m_store;
    std::vector<std::int64_t> m_writeTimes;
    std::int64_t m_raceAt = 0;
    std::map<config_number, std::int64_t> m_acceptedAt;
};

} // namespace

TEST_CASE("A follower adopts versions forwards only")
{
    config_follower f;
    f.onStoreRead(at(0), at(10), versionOf(1, 0, 0), 1000);
    f.onStoreRead(at(1000), at(1010), versionOf(2, 1990, 5990), 2000);

    SUBCASE("an old read that arrives late changes nothing")
    {
        f.onStoreRead(at(900), at(2900), versionOf(1, 0, 0), 1950);
        CHECK(f.head()->number == 2);
    }
    SUBCASE("and does not confirm the head")
    {
        f.onStoreRead(at(3000), at(3700), versionOf(1, 0, 0), std::nullopt);
        CHECK(unavailableReason(f, at(3700)) == preset_unavailable_reason::Unconfirmed);
    }
    SUBCASE("the version before is in force until the activation")
    {
        f.onStoreRead(at(3000), at(3010), versionOf(2, 1990, 5990), 4000);
        CHECK(f.inForce(at(4900))->number == 1);
        SUBCASE("around it neither is, within the error of the clock")
        {
            CHECK(unavailableReason(f, at(4990)) == preset_unavailable_reason::Changing);
        }
        SUBCASE("after it the new one is")
        {
            CHECK(f.inForce(at(5050))->number == 2);
        }
    }
    SUBCASE("without a confirmation within its validity nothing is in force")
    {
        CHECK(f.inForce(at(3499)).has_value());
        CHECK(unavailableReason(f, at(3500)) == preset_unavailable_reason::Unconfirmed);
        SUBCASE("but what presets don't decide goes on")
        {
            CHECK(f.current(at(60'000))->number == 2);
        }
        SUBCASE("until a peer's confirmation comes")
        {
            config_follower peer;
            peer.onStoreRead(at(3400), at(3405), versionOf(2, 1990, 5990), 4400);
            f.onPeerResponse(at(3500), at(3510), *peer.forPeer(at(3505)));
            CHECK(f.inForce(at(3510))->number == 1);
        }
    }
}

TEST_CASE("A version whose write was late is used only when nobody can miss it")
{
    // An operator's write stayed on its way until after its activation time. A daemon that read the
    // store just before still decides by the old preset, rightly as far as it can know. A daemon
    // that reads just after sees a version whose time has come: if it used it at once, two presets
    // would be in force.
    config_follower before;
    config_follower after;
    for (config_follower *f : {&before, &after})
        f->onStoreRead(at(0), at(2), versionOf(1, 0, 0), 0);
    before.onStoreRead(at(6000), at(6002), versionOf(1, 0, 0), 6000);
    after.onStoreRead(at(6010), at(6012), versionOf(2, 1000, 5000), 6010);
    CHECK(before.inForce(at(8400))->number == 1);
    CHECK(unavailableReason(after, at(8400)) == preset_unavailable_reason::Changing);
    CHECK(unavailableReason(before, at(8500)) == preset_unavailable_reason::Unconfirmed);
    after.onStoreRead(at(8500), at(8502), versionOf(2, 1000, 5000), 8500);
    CHECK(after.inForce(at(8530))->number == 2);
}

TEST_CASE("A change is made to the version that its operator saw")
{
    config_follower f;
    CHECK(proposalErrorOf(f.propose(anyConfig(), "a", "ana", 0, at(0))) == proposal_error::NoTime);
    f.onStoreRead(at(0), at(2), std::nullopt, 5000);
    const auto first = f.propose(anyConfig(), "a", "ana", 0, at(2));
    REQUIRE(first);
    CHECK(first->head.activateMs == first->head.acceptedMs);
    f.onStoreRead(at(4), at(6), *first, 5004);
    CHECK(proposalErrorOf(f.propose(anyConfig(), "b", "ana", 0, at(7)))
          == proposal_error::Conflict);

    SUBCASE("it comes into force after it, however wrong that one's writer knew the time")
    {
        f.onStoreRead(at(100), at(102), versionOf(2, 16'000, 20'000), 5100);
        CHECK(f.propose(anyConfig(), "c", "ben", 2, at(110))->head.activateMs == 20'001);
    }
    SUBCASE("a change of a change that still waits keeps the order")
    {
        const auto second = f.propose(anyConfig(), "b", "ana", 1, at(100));
        REQUIRE(second);
        f.onStoreRead(at(100), at(102), *second, 5100);
        const auto third = f.propose(anyConfig(), "c", "ben", 2, at(101));
        REQUIRE(third);
        CHECK(third->head.activateMs > second->head.activateMs);
        CHECK(third->before.size() == 2);
        SUBCASE("and is read back whole")
        {
            const auto read = parseConfigDocument(toText(*third));
            REQUIRE(read);
            CHECK(read->head.id == "c");
            CHECK(read->head.author == "ben");
            CHECK(read->before.back().activateMs == second->head.activateMs);
        }
    }
}

TEST_CASE("Followers agree on the preset at every instant")
{
    SUBCASE("with lost and late messages, late writes, outages and races")
    {
        CHECK(rc::check([] { simulation(true).run(); }));
    }
    SUBCASE("with all connected, a version is in force everywhere within 5 s")
    {
        CHECK(rc::check([] { simulation(false).run(); }));
    }
}
