#include "fake_store.h"
#include "loopback.h"
#include "slots/slots.h"

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace azurehill::test {

namespace {

constexpr std::size_t hostCount = 3;
constexpr duration step = milliseconds(5);
const std::string service = "model";

/// \brief A daemon reduced to requesting and dispatching slots. It has an event loop of its own, so
/// that it can die.
struct exchange_host
{
    exchange_host(row_store &rows, const std::string &name)
        : access(rows), ledger(access, {}), holder(context.get_executor(), ledger),
          exchange(context.get_executor(), holder)
    {
        self.name = {name};
        self.incarnation = 1;
        self.serving = true;
        self.cores = 1;
        port = exchange.start({"127.0.0.1", 0});
        exchange.setServices({service});
    }

    asio::io_context context;
    fake_store access;
    turn_ledger ledger;
    budget_holder holder;
    slot_exchange exchange;
    member_state self;
    std::uint16_t port = 0;
    bool isAlive = true;
};

/// \brief A datagram between two hosts.
struct wire_message
{
    std::size_t from = 0;
    std::size_t to = 0;
    slot_message message;
};

template <class Message>
bool holds(const wire_message &m)
{
    return std::holds_alternative<Message>(m.message);
}

/// \brief A request for a slot, and its result once it has ended.
struct pending_slot
{
    std::shared_ptr<timer> wait;
    bool isWanted = true;
    std::optional<slot_result> result;
    duration waited = duration::zero();

    bool isGranted() const { return result && std::holds_alternative<held_slot>(*result); }
    bool isUnreachable() const
    {
        return result && std::holds_alternative<dispatcher_unreachable>(*result);
    }
    std::optional<slot_refusal_reason> refusal() const
    {
        const auto *const refused = result ? std::get_if<slot_refusal>(&*result) : nullptr;
        return refused ? std::optional(refused->reason) : std::nullopt;
    }
    held_slot slot() const { return std::get<held_slot>(*result); }
};

using pending_slot_ptr = std::shared_ptr<pending_slot>;

awaitable<void> acquireInto(slot_exchange &exchange, slot_request request, pending_slot_ptr pending)
{
    const time_point began = runtime_clock::now();
    std::function<bool()> isWanted = [pending] { return pending->isWanted; };
    slot_result result
        = co_await exchange.acquire(std::move(request), pending->wait, std::move(isWanted));
    pending->result = std::move(result);
    pending->waited = runtime_clock::now() - began;
}

/// \brief Three daemons on one store, with a relay between each two that records datagrams and
/// loses some.
struct exchange_world
{
    /// \param slots slots of each replica, by replica.
    explicit exchange_world(const std::vector<int> &slots = {2, 2})
    {
        for (std::size_t i = 0; i < hostCount; ++i)
            hosts.push_back(std::make_unique<exchange_host>(rows, "h" + std::to_string(i)));
        for (std::size_t from = 0; from < hostCount; ++from) {
            for (std::size_t to = 0; to < hostCount; ++to) {
                if (from != to)
                    addRelay(from, to);
            }
        }
        for (std::size_t i = 0; i < slots.size(); ++i) {
            replica_entry entry;
            entry.incarnation = {{"i-" + std::to_string(i)}, 1};
            entry.service = service;
            entry.slots = slots[i];
            replicas.push_back(entry);
        }
        for (const auto &host : hosts)
            host->exchange.setReplicas(replicas);
        setAllMembers();
        // A dispatcher that starts collects renewals first.
        advance(milliseconds(400));
    }

    exchange_host &host(std::size_t i) { return *hosts.at(i); }

    /// \brief Sets the members at all living hosts: the living hosts.
    void setAllMembers()
    {
        for (std::size_t i = 0; i < hostCount; ++i) {
            std::vector<member_state> others;
            for (std::size_t k = 0; k < hostCount; ++k) {
                if (k != i && host(k).isAlive)
                    others.push_back(memberSeenBy(i, k));
            }
            if (host(i).isAlive)
                host(i).exchange.setMembers(host(i).self, std::move(others));
        }
    }

    /// \returns the host that the living ones choose as dispatcher.
    std::size_t dispatcher() const
    {
        std::vector<dispatcher_candidate> candidates;
        for (const auto &host : hosts) {
            if (host->isAlive)
                candidates.push_back({host->self.name, host->self.cores});
        }
        const daemon_id chosen = dispatcherOf(service, 0, candidates);
        std::size_t i = 0;
        while (hosts[i]->self.name != chosen)
            ++i;
        return i;
    }
    /// \returns a living host that does not dispatch, the \p n th.
    std::size_t client(std::size_t n = 0) const
    {
        const std::size_t chosen = dispatcher();
        for (std::size_t i = 0;; ++i) {
            if (i != chosen && hosts[i]->isAlive && n-- == 0)
                return i;
        }
    }

    /// \brief Requests a slot for a turn of \p program at host \p i.
    pending_slot_ptr request(std::size_t i, const std::string &program, const std::string &id = "",
                             std::optional<std::int64_t> budget = std::nullopt)
    {
        constexpr std::int64_t maxOutputTokens = 50;
        slot_request r;
        r.service = service;
        r.route = "/chat/";
        r.program = {program};
        r.session = "s";
        r.requestId = id.empty() ? "r" + std::to_string(++m_requests) : id;
        r.timeLeft = seconds(4);
        r.budgetTokens = budget;
        r.maxOutputTokens = maxOutputTokens;
        r.retention = seconds(60);
        auto pending = std::make_shared<pending_slot>();
        pending->wait = std::make_shared<timer>(host(i).context.get_executor());
        spawn(host(i).context.get_executor(), "acquire",
              acquireInto(host(i).exchange, std::move(r), pending));
        return pending;
    }
    /// \brief Requests a slot and waits for the result.
    pending_slot_ptr acquire(std::size_t i, const std::string &program, const std::string &id = "",
                             std::optional<std::int64_t> budget = std::nullopt)
    {
        const pending_slot_ptr pending = request(i, program, id, budget);
        CHECK(advanceUntil([&] { return pending->result.has_value(); }, seconds(5)));
        return pending;
    }
    void release(std::size_t i, const pending_slot_ptr &pending, std::int64_t used = 0)
    {
        slot_end end;
        end.outcome = send_outcome::Answered;
        end.usedTokens = used;
        host(i).exchange.release(pending->slot().number, end);
    }

    /// \brief Runs the living hosts for \p time.
    void advance(duration time)
    {
        advanceUntil([] { return false; }, time);
    }
    /// \returns whether \p isDone became true within \p limit.
    bool advanceUntil(const std::function<bool()> &isDone, duration limit)
    {
        const time_point until = runtime_clock::now() + limit;
        while (runtime_clock::now() < until) {
            runReady();
            if (isDone())
                return true;
            runtime_clock::advance(step);
        }
        return isDone();
    }

    template <class Message>
    std::size_t countSent(std::size_t from, std::size_t to) const
    {
        std::size_t count = 0;
        for (const wire_message &m : sent)
            count += m.from == from && m.to == to && holds<Message>(m) ? 1 : 0;
        return count;
    }

    const paused_clock clock;
    row_store rows;
    asio::io_context network;
    std::vector<std::unique_ptr<exchange_host>> hosts;
    std::vector<replica_entry> replicas;
    /// Datagrams in the order in which they were sent, the lost ones too.
    std::vector<wire_message> sent;
    /// Returns whether a datagram is lost.
    std::function<bool(const wire_message &)> isLost = [](const wire_message &) { return false; };

private:
    /// \brief The socket to which host \p from sends what is for host \p to, and from which it
    /// receives the answers of that host.
    struct relay
    {
        std::unique_ptr<datagram_socket> socket;
        std::uint16_t port = 0;
    };

    void addRelay(std::size_t from, std::size_t to)
    {
        relay &r = m_relays.at(from).at(to);
        r.socket = std::make_unique<datagram_socket>(
            network.get_executor(), "relay",
            [this, from, to](std::string_view text, const endpoint &) { forward(from, to, text); });
        r.port = r.socket->listen({"127.0.0.1", 0});
    }
    void forward(std::size_t from, std::size_t to, std::string_view text)
    {
        const auto message = decodeSlotMessage(text);
        REQUIRE(message.has_value());
        sent.push_back({from, to, *message});
        if (!isLost(sent.back()))
            m_relays.at(to).at(from).socket->send({"127.0.0.1", host(to).port}, std::string(text));
    }
    member_state memberSeenBy(std::size_t i, std::size_t k)
    {
        member_state member = host(k).self;
        // Daemons derive the port for slots from the gossip port.
        const std::uint16_t port = m_relays.at(i).at(k).port;
        member.gossip = {"127.0.0.1", static_cast<std::uint16_t>(port - 2)};
        return member;
    }
    /// \brief Runs what is ready. Timers notice an advance of the clock within a millisecond of
    /// real time.
    void runReady()
    {
        constexpr auto pollTime = std::chrono::microseconds(1200);
        const auto until = std::chrono::steady_clock::now() + pollTime;
        while (std::chrono::steady_clock::now() < until) {
            network.restart();
            network.run_for(std::chrono::microseconds(100));
            for (const auto &host : hosts) {
                if (!host->isAlive)
                    continue;
                host->context.restart();
                host->context.poll();
            }
        }
    }

    std::array<std::array<relay, hostCount>, hostCount> m_relays;
    int m_requests = 0;
};

} // namespace

TEST_SUITE("slots of engines")
{
    // Guards against daemons that each decide by their own requests.
    TEST_CASE("a request goes to the one dispatcher and is granted")
    {
        exchange_world w;
        const std::size_t client = w.client();
        const pending_slot_ptr slot = w.acquire(client, "p");
        REQUIRE(slot->isGranted());
        CHECK(slot->slot().replica.id.value.starts_with("i-"));
        CHECK(slot->waited < milliseconds(40));
        CHECK(w.countSent<slot_request>(client, w.dispatcher()) == 1);
        CHECK(w.countSent<slot_request>(client, w.client(1)) == 0);

        SUBCASE("without a datagram at the dispatcher itself")
        {
            w.sent.clear();
            CHECK(w.acquire(w.dispatcher(), "q")->isGranted());
            CHECK(w.countSent<slot_request>(w.dispatcher(), w.client()) == 0);
        }
        SUBCASE("and no replica has more turns than slots, whichever daemons ask")
        {
            CHECK(w.acquire(w.client(1), "q")->isGranted());
            CHECK(w.acquire(w.dispatcher(), "r")->isGranted());
            CHECK(w.acquire(client, "t")->isGranted());
            const pending_slot_ptr fifth = w.request(w.client(1), "u");
            w.advance(milliseconds(300));
            CHECK_FALSE(fifth->result.has_value());
            w.release(client, slot);
            CHECK(w.advanceUntil([&] { return fifth->isGranted(); }, milliseconds(100)));
        }
    }

    // Guards against a slot for each transmission of one request.
    TEST_CASE("a repeated request gets the same answer")
    {
        exchange_world w({1, 1});
        const std::size_t client = w.client();
        int lost = 0;
        w.isLost = [&](const wire_message &m) { return holds<slot_grant>(m) && ++lost <= 2; };
        const pending_slot_ptr slot = w.acquire(client, "p");
        REQUIRE(slot->isGranted());
        CHECK(w.countSent<slot_request>(client, w.dispatcher()) == 3);
        std::vector<std::string> granted;
        for (const wire_message &m : w.sent) {
            if (const auto *grant = std::get_if<slot_grant>(&m.message))
                granted.push_back(grant->replica.id.value);
        }
        CHECK(granted == std::vector<std::string>(3, slot->slot().replica.id.value));
        // The other replica's slot is still free.
        CHECK(w.acquire(client, "q")->isGranted());
    }

    // Guards against turns that wait for a dispatcher that does not answer.
    TEST_CASE("a dispatcher that does not answer for 200 ms is unreachable")
    {
        exchange_world w;
        const std::size_t client = w.client();
        w.isLost = [&](const wire_message &m) { return m.from == client; };
        const pending_slot_ptr first = w.acquire(client, "p");
        CHECK(first->isUnreachable());
        CHECK(first->waited >= milliseconds(200));
        CHECK(first->waited <= milliseconds(260));
        w.sent.clear();

        SUBCASE("and the next turns of half a second don't ask it")
        {
            for (int i = 0; i < 4; ++i) {
                const pending_slot_ptr next = w.acquire(client, "p");
                CHECK(next->isUnreachable());
                CHECK(next->waited <= step);
                w.advance(milliseconds(100));
            }
            CHECK(w.countSent<slot_request>(client, w.dispatcher()) == 0);
        }
        SUBCASE("and the turns after that ask it again")
        {
            w.isLost = [](const wire_message &) { return false; };
            w.advance(milliseconds(510));
            CHECK(w.acquire(client, "p")->isGranted());
        }
        SUBCASE("for the daemons that don't reach it only")
        {
            CHECK(w.acquire(w.client(1), "p")->isGranted());
        }
    }

    // Guards against turns that wait for a daemon that is gone, and against engines that get twice
    // their slots after each change of the dispatcher.
    TEST_CASE("the dispatcher dies while a request is queued")
    {
        exchange_world w({1});
        const std::size_t holder = w.client(0);
        const std::size_t waiter = w.client(1);
        const pending_slot_ptr held = w.acquire(holder, "p");
        REQUIRE(held->isGranted());
        const pending_slot_ptr queued = w.request(waiter, "q");
        w.advance(milliseconds(100));
        REQUIRE_FALSE(queued->result.has_value());
        w.host(w.dispatcher()).isAlive = false;

        SUBCASE("and the members don't know: the turn takes the local path")
        {
            CHECK(w.advanceUntil([&] { return queued->isUnreachable(); }, milliseconds(1100)));
        }
        SUBCASE("and the members know: its successor adopts the grants in progress")
        {
            w.setAllMembers();
            w.advance(milliseconds(600));
            CHECK_FALSE(queued->result.has_value());
            w.release(holder, held);
            CHECK(w.advanceUntil([&] { return queued->isGranted(); }, milliseconds(300)));
        }
    }

    // Guards against slots that stay taken, and turns that stay queued, after a lost datagram.
    TEST_CASE("renewals repair what a lost datagram broke")
    {
        exchange_world w({1});
        const std::size_t holder = w.client(0);
        const std::size_t waiter = w.client(1);
        const pending_slot_ptr held = w.acquire(holder, "p");
        REQUIRE(held->isGranted());
        const pending_slot_ptr queued = w.request(waiter, "q");
        w.advance(milliseconds(400));
        REQUIRE_FALSE(queued->result.has_value());

        SUBCASE("a lost grant")
        {
            int lost = 0;
            w.isLost = [&](const wire_message &m) { return holds<slot_grant>(m) && ++lost == 1; };
            w.release(holder, held);
            CHECK(w.advanceUntil([&] { return queued->isGranted(); }, milliseconds(800)));
            CHECK(lost == 2);
        }
        SUBCASE("a lost release of a daemon without other tickets")
        {
            w.isLost = [&](const wire_message &m) { return holds<slot_release>(m); };
            w.release(holder, held);
            w.advance(milliseconds(1700));
            CHECK(w.countSent<slot_release>(holder, w.dispatcher()) == 1);
            const pending_slot_ptr next = w.acquire(waiter, "r");
            CHECK(next->isGranted());
            CHECK(next->waited < milliseconds(100));
        }
        SUBCASE("a lost release of a daemon with other tickets")
        {
            const pending_slot_ptr other = w.request(holder, "r");
            w.advance(milliseconds(100));
            w.isLost = [&](const wire_message &m) { return holds<slot_release>(m); };
            w.release(holder, held);
            CHECK(w.advanceUntil([&] { return queued->isGranted(); }, milliseconds(800)));
        }
    }

    // Guards against slots that are granted to clients that have left.
    TEST_CASE("a client leaves while its turn waits")
    {
        exchange_world w({1});
        const std::size_t client = w.client();
        const pending_slot_ptr held = w.acquire(client, "p");
        const pending_slot_ptr leaving = w.request(client, "q");
        const pending_slot_ptr next = w.request(w.client(1), "r");
        w.advance(milliseconds(100));
        leaving->isWanted = false;
        leaving->wait->cancel();
        REQUIRE(w.advanceUntil([&] { return leaving->result.has_value(); }, milliseconds(20)));
        CHECK_FALSE(leaving->isGranted());
        w.advance(milliseconds(10));
        CHECK(w.countSent<slot_release>(client, w.dispatcher()) == 1);
        w.release(client, held);
        CHECK(w.advanceUntil([&] { return next->isGranted(); }, milliseconds(100)));
    }

    // Guards against a dispatcher that counts as unreachable while it waits for the store.
    TEST_CASE("a grant waits for the tokens of its turn")
    {
        exchange_world w;
        const std::size_t client = w.client();
        exchange_host &dispatcher = w.host(w.dispatcher());

        SUBCASE("that a slow store holds after more than 200 ms")
        {
            dispatcher.access.nextFault = [] { return store_fault::Slow; };
            const pending_slot_ptr slot = w.acquire(client, "p", "", 400);
            CHECK(slot->isGranted());
            CHECK(slot->waited > milliseconds(200));
            CHECK(w.acquire(client, "q")->isGranted());
        }
        SUBCASE("also at the dispatcher's own daemon")
        {
            dispatcher.access.nextFault = [] { return store_fault::Slow; };
            CHECK(w.acquire(w.dispatcher(), "p", "", 400)->isGranted());
        }
        SUBCASE("and is refused if they can't be held, and its slot is free again")
        {
            dispatcher.access.nextFault = [] { return store_fault::RequestDropped; };
            const pending_slot_ptr slot = w.acquire(client, "p", "", 400);
            CHECK(slot->refusal() == slot_refusal_reason::TokensNotHeld);
            CHECK(std::get<slot_refusal>(*slot->result).retryAfter == seconds(2));
            for (int i = 0; i < 4; ++i)
                CHECK(w.acquire(client, "q" + std::to_string(i))->isGranted());
        }
        SUBCASE("and programs under way go on without the store")
        {
            const pending_slot_ptr first = w.acquire(client, "p", "", 400);
            REQUIRE(first->isGranted());
            w.release(client, first, 50);
            dispatcher.access.reachable = false;
            dispatcher.access.nextFault = [] { return store_fault::Refused; };
            CHECK(w.acquire(w.client(1), "p", "", 400)->isGranted());
            CHECK(w.acquire(client, "q", "", 400)->refusal() == slot_refusal_reason::TokensNotHeld);
        }
    }

    TEST_CASE("a program whose budget is spent is refused")
    {
        exchange_world w;
        const std::size_t client = w.client();
        for (int i = 0; i < 2; ++i) {
            const pending_slot_ptr slot = w.acquire(client, "p", "", 100);
            REQUIRE(slot->isGranted());
            w.release(client, slot, 50);
        }
        CHECK(w.acquire(client, "p", "", 100)->refusal() == slot_refusal_reason::BudgetSpent);
    }

    // Guards against tokens that are not charged if a client sends its request again to another
    // daemon before the first one has given its ticket back.
    TEST_CASE("a request that is sent through two daemons is charged for both")
    {
        exchange_world w;
        const pending_slot_ptr abandoned = w.acquire(w.client(0), "p", "r", 100);
        const pending_slot_ptr repeated = w.acquire(w.client(1), "p", "r", 100);
        REQUIRE(abandoned->isGranted());
        REQUIRE(repeated->isGranted());
        w.release(w.client(0), abandoned, 0);
        w.advance(milliseconds(20));
        w.release(w.client(1), repeated, 50);
        w.advance(milliseconds(20));
        const pending_slot_ptr next = w.acquire(w.client(0), "p", "", 100);
        REQUIRE(next->isGranted());
        w.release(w.client(0), next, 50);
        w.advance(milliseconds(20));
        CHECK(w.acquire(w.client(0), "p", "", 100)->refusal() == slot_refusal_reason::BudgetSpent);
    }
}

} // namespace azurehill::test
