#include "fake_store.h"
#include "lending/lending.h"
#include "loopback.h"

#include <boost/asio/ip/udp.hpp>
#include <doctest/doctest.h>

#include <memory>

namespace azurehill::test {

namespace {

const account_id account{"a"};
constexpr duration step = milliseconds(20);

routing_config_ptr routesWith(const request_quota &quota)
{
    account_config rule;
    rule.name = account;
    rule.quota = quota;
    auto book = account_registry::make({rule});
    return std::make_shared<routing_config>(1, std::vector<route_rule>(),
                                            std::vector<service_rule>(), client_limits(),
                                            std::move(*book));
}

/// \brief A daemon reduced to borrowing and lending.
struct lending_host
{
    lending_host(asio::io_context &context, row_store &rows, const std::string &name,
                 std::int64_t incarnation)
        : access(rows), exchange(context.get_executor(), access, {})
    {
        self.name = {name};
        self.incarnation = incarnation;
        self.serving = true;
        self.storeReachable = true;
        const std::uint16_t port = exchange.start({"127.0.0.1", 0});
        // Daemons derive each other's lending port from the gossip port.
        self.gossip = {"127.0.0.1", static_cast<std::uint16_t>(port - 1)};
        exchange.setRoutes(routesWith({1000, 1000}));
    }

    fake_store access;
    credit_exchange exchange;
    member_state self;
};

/// \brief Three daemons that share a store.
struct lending_world
{
    lending_world() { startAll(1); }

    void startAll(std::int64_t incarnation)
    {
        for (const char *name : {"h0", "h1", "h2"})
            hosts.push_back(std::make_unique<lending_host>(context, rows, name, incarnation));
    }
    lending_host &host(std::size_t i) { return *hosts[hosts.size() - 3 + i]; }

    /// \brief Sets the members that host \p i sees: all hosts, the others with \p incarnation.
    void setMembersOf(std::size_t i, std::int64_t incarnation)
    {
        std::vector<member_state> others;
        for (std::size_t k = 0; k < 3; ++k) {
            if (k == i)
                continue;
            others.push_back(host(k).self);
            others.back().incarnation = incarnation;
        }
        host(i).exchange.setMembers(host(i).self, std::move(others));
    }
    void setAllMembers(std::int64_t incarnation)
    {
        for (std::size_t i = 0; i < 3; ++i)
            setMembersOf(i, incarnation);
    }

    void advance(duration time)
    {
        auto wait = [](duration d) -> awaitable<void> { co_await sleepFor(d); };
        runInSteps(context, wait(time), step);
    }
    /// \returns whether host \p i gets a credit.
    bool canBorrow(std::size_t i)
    {
        bool isLent = false;
        auto go = [&]() -> awaitable<void> {
            account_id copy = account;
            const time_point until = runtime_clock::now() + seconds(2);
            const auto got
                = co_await host(i).exchange.borrow(std::move(copy), credit_use::Continue, until);
            isLent = std::holds_alternative<credit_id>(got);
        };
        runInSteps(context, go(), step);
        return isLent;
    }
    bool allBorrow() { return canBorrow(0) && canBorrow(1) && canBorrow(2); }
    /// \returns the daemon that holds the account's row in the store, or an empty text.
    std::string holder()
    {
        const row_name name = quotaRowName(shardOf(account));
        const row_page page = rows.read({name.table, name.partition, "", ""});
        const auto row = page.rows.empty() ? std::nullopt : decodeQuotaRow(page.rows[0].value);
        return row && !row->isReleased ? row->holder.value : "";
    }

    const paused_clock clock;
    asio::io_context context;
    row_store rows;
    std::vector<std::unique_ptr<lending_host>> hosts;
};

} // namespace

TEST_SUITE("lending")
{
    TEST_CASE("any daemon gets credits from the one that holds the account's row")
    {
        lending_world w;
        w.setAllMembers(1);
        w.advance(seconds(1));
        CHECK(w.allBorrow());
        const daemon_id preferred = preferredHolder(shardOf(account), {{"h0"}, {"h1"}, {"h2"}});
        CHECK(w.holder() == preferred.value);
    }

    TEST_CASE("a row goes to the daemon that should hold it, and nobody waits")
    {
        lending_world w;
        const daemon_id preferred = preferredHolder(shardOf(account), {{"h0"}, {"h1"}, {"h2"}});
        const std::size_t other = preferred.value == "h0" ? 1 : 0;
        w.host(other).exchange.setMembers(w.host(other).self, {});
        w.advance(seconds(1));
        REQUIRE(w.holder() == w.host(other).self.name.value);
        w.setAllMembers(1);
        w.advance(seconds(1));
        // The preferred holder has polled the row by now, and must leave it to its live holder.
        CHECK(w.holder() == w.host(other).self.name.value);
        for (int i = 0; i < 10; ++i) {
            CHECK(w.allBorrow());
            w.advance(milliseconds(500));
        }
        CHECK(w.holder() == preferred.value);
    }

    // Guards against rows that no daemon acquires, because a daemon with the name of their holder
    // is alive in a later run.
    TEST_CASE("after a restart of all daemons credits are lent again")
    {
        lending_world w;
        const daemon_id preferred = preferredHolder(shardOf(account), {{"h0"}, {"h1"}, {"h2"}});
        const std::size_t other = preferred.value == "h0" ? 1 : 0;
        w.host(other).exchange.setMembers(w.host(other).self, {});
        w.advance(seconds(1));
        REQUIRE(w.holder() == w.host(other).self.name.value);
        w.startAll(2);
        // The first states seen of the others are those of their previous runs.
        w.setAllMembers(1);
        w.advance(milliseconds(300));
        w.setAllMembers(2);
        w.advance(seconds(1));
        CHECK(w.allBorrow());
    }

    TEST_CASE("credits are lent on through an outage of the store")
    {
        lending_world w;
        w.setAllMembers(1);
        w.advance(seconds(1));
        CHECK(w.allBorrow());
        for (std::size_t i = 0; i < 3; ++i)
            w.host(i).access.nextFault = [] { return store_fault::Refused; };
        w.advance(seconds(6));
        CHECK(w.allBorrow());

        SUBCASE("and not for ever, as another daemon may have taken the row")
        {
            w.advance(seconds(6));
            CHECK_FALSE(w.canBorrow(0));
        }
    }

    // Guards against a lender that is overloaded by retransmissions of the same requests.
    TEST_CASE("a lender that does not answer is asked less and less often")
    {
        lending_world w;
        asio::ip::udp::socket silent(w.context, {asio::ip::address_v4::loopback(), 0});
        silent.non_blocking(true);
        member_state lender;
        for (int i = 0; lender.name != preferredHolder(shardOf(account), {{"h0"}, lender.name});
             ++i)
            lender.name = {"s" + std::to_string(i)};
        lender.serving = true;
        lender.storeReachable = true;
        lender.gossip = endpoint{"127.0.0.1", std::uint16_t(silent.local_endpoint().port() - 1)};
        w.host(0).exchange.setMembers(w.host(0).self, {lender});
        CHECK_FALSE(w.canBorrow(0));
        int requestCount = 0;
        std::string text(4096, '\0');
        boost::system::error_code code;
        while (silent.receive(asio::buffer(text), 0, code) > 0 && !code) {
            const auto message = decodeQuotaMessage(std::string_view(text.c_str()));
            requestCount += message && std::holds_alternative<credit_request>(*message) ? 1 : 0;
            text.assign(text.size(), '\0');
        }
        CHECK(requestCount >= 2);
        CHECK(requestCount <= 7);
    }

    TEST_CASE("when the holder is gone another daemon lends")
    {
        lending_world w;
        w.setAllMembers(1);
        w.advance(seconds(4));
        REQUIRE(w.allBorrow());
        const std::string deadHolder = w.holder();
        for (std::size_t i = 0; i < 3; ++i) {
            std::vector<member_state> others;
            for (std::size_t k = 0; k < 3; ++k) {
                if (k != i && w.host(k).self.name.value != deadHolder)
                    others.push_back(w.host(k).self);
            }
            w.host(i).exchange.setMembers(w.host(i).self, std::move(others));
        }
        w.advance(seconds(1));
        for (std::size_t i = 0; i < 3; ++i) {
            if (w.host(i).self.name.value != deadHolder)
                CHECK(w.canBorrow(i));
        }
        CHECK(w.holder() != deadHolder);
    }
}

} // namespace azurehill::test
