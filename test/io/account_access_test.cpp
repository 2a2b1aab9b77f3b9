#include <doctest/doctest.h>

// entry_fixture.h uses doctest's macros.
#include "entry_fixture.h"

namespace azurehill::test {

namespace {

/// \returns the routes of the fixture with two accounts; "/open/" is public.
routing_config_ptr routesWithAccounts(std::uint64_t version, const std::string &keyOfFirst,
                                      std::optional<request_quota> quota = std::nullopt)
{
    std::vector<route_rule> routes = entry_fixture::makeRoutes()->routes();
    routes.push_back(entry_fixture::rule("/open/", route_kind::Idempotent, "tools"));
    routes.back().isPublic = true;
    std::vector<account_config> rules(2);
    rules[0].name = {"first"};
    rules[0].keys = {digestOf(keyOfFirst)};
    rules[0].priority = 1;
    rules[0].quota = quota;
    rules[1].name = {"second"};
    rules[1].keys = {digestOf("k2")};
    auto book = account_registry::make(std::move(rules));
    return std::make_shared<routing_config>(version, routes,
                                            entry_fixture::makeRoutes()->services(),
                                            client_limits(), std::move(*book));
}

std::string request(const std::string &path, const std::string &id, const std::string &more = "")
{
    const std::string head
        = fmt::format("POST {} HTTP/1.1\r\nX-Azurehill-Request-Id: {}", path, id);
    return more.empty() ? head : head + "\r\n" + more;
}

std::string turnOf(const std::string &id, const std::string &previous, const std::string &key)
{
    std::string head = request("/turn/1", id, "Authorization: Bearer " + key);
    head += "\r\nX-Azurehill-Program-Id: p\r\nX-Azurehill-Token-Budget: 1000\r\n"
            "X-Azurehill-Token-Usage: 100,40";
    return previous.empty() ? head : head + "\r\nX-Azurehill-Previous-Turn: " + previous;
}

int statusOf(const std::string &answer)
{
    return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
}

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

/// \brief Fixture whose configuration has accounts.
struct account_fixture : entry_fixture
{
    account_fixture() { service->setRoutes(routesWithAccounts(2, "k1")); }

    std::vector<std::string> arrived() const
    {
        std::vector<std::string> all = a.arrived;
        all.insert(all.end(), b.arrived.begin(), b.arrived.end());
        return all;
    }
};

} // namespace

TEST_SUITE("client accounts")
{
    TEST_CASE("a replica learns the account from the daemon, and never the key")
    {
        account_fixture w;
        CHECK(statusOf(w.ask(request("/safe/x", "r1",
                                     "Authorization: Bearer k1\r\nX-Azurehill-Tenant: second")))
              == 200);
        REQUIRE(w.arrived().size() == 1);
        const std::string seen = w.arrived().front();
        CHECK(contains(seen, "X-Azurehill-Tenant: first\r\n"));
        CHECK_FALSE(contains(seen, "second"));
        CHECK_FALSE(contains(seen, "Authorization"));
        CHECK_FALSE(contains(seen, "k1"));

        SUBCASE("the account's priority goes before the route's")
        {
            CHECK(contains(seen, "X-Azurehill-Request-Priority: 3\r\n"));
        }
    }

    TEST_CASE("a request without a key that is known reaches no replica")
    {
        account_fixture w;
        std::string fields;
        SUBCASE("no key") { }
        SUBCASE("an unknown key")
        {
            fields = "Authorization: Bearer k9";
        }
        SUBCASE("another scheme")
        {
            fields = "Authorization: Basic azE=";
        }
        SUBCASE("an empty key")
        {
            fields = "Authorization: Bearer ";
        }
        SUBCASE("two keys, of which one is known")
        {
            fields = "Authorization: Bearer k1\r\nAuthorization: Bearer k9";
        }
        const std::string answer = w.ask(request("/safe/x", "r1", fields));
        CHECK(statusOf(answer) == 401);
        CHECK(contains(answer, "WWW-Authenticate: Bearer"));
        CHECK(w.arrived().empty());
    }

    TEST_CASE("a public route takes requests without a key, in nobody's name")
    {
        account_fixture w;
        CHECK(statusOf(w.ask(request("/open/x", "r1", "X-Azurehill-Tenant: first"))) == 200);
        REQUIRE(w.arrived().size() == 1);
        CHECK_FALSE(contains(w.arrived().front(), "X-Azurehill-Tenant"));
        CHECK(statusOf(w.ask(request("/open/x", "r2", "Authorization: Bearer k9"))) == 401);
    }

    TEST_CASE("a key that is taken away works no more with the next version")
    {
        account_fixture w;
        CHECK(statusOf(w.ask(request("/safe/x", "r1", "Authorization: Bearer k1"))) == 200);
        w.service->setRoutes(routesWithAccounts(3, "k1-new"));
        CHECK(statusOf(w.ask(request("/safe/x", "r2", "Authorization: Bearer k1"))) == 401);
        CHECK(statusOf(w.ask(request("/safe/x", "r3", "Authorization: Bearer k1-new"))) == 200);
    }

    // Guards against one account reading another's conversation by the id of a turn.
    TEST_CASE("a turn of another account is answered like one that is not there")
    {
        account_fixture w;
        w.model.script = {scripted_replica::stream(2), scripted_replica::stream(2),
                          scripted_replica::stream(2)};
        REQUIRE(statusOf(w.ask(turnOf("t1", "", "k1"), "mine")) == 200);

        SUBCASE("from memory") { }
        SUBCASE("from the store, by a daemon that knows nothing")
        {
            w.restart(routesWithAccounts(2, "k1"));
        }
        const std::size_t before = w.model.arrived.size();
        CHECK(statusOf(w.ask(turnOf("t2", "t1", "k2"), "other")) == 404);
        CHECK(statusOf(w.ask(turnOf("t3", "t-none", "k2"), "other")) == 404);
        CHECK(w.model.arrived.size() == before);
        CHECK(statusOf(w.ask(turnOf("t4", "t1", "k1"), "more")) == 200);
        CHECK(contains(w.model.arrived.back(), "mine"));
    }

    TEST_CASE("programs of two accounts are two, whatever their names")
    {
        account_fixture w;
        w.model.script = {scripted_replica::stream(2), scripted_replica::stream(2)};
        CHECK(statusOf(w.ask(turnOf("t1", "", "k1"), "in")) == 200);
        CHECK(statusOf(w.ask(turnOf("t2", "", "k2"), "in")) == 200);
        CHECK(w.rows.read({"turns", "first/p", "", ""}).rows.size() > 1);
        CHECK(w.rows.read({"turns", "second/p", "", ""}).rows.size() > 1);
    }

    TEST_CASE("an account with a quota is served up to it, and told when to come back")
    {
        account_fixture w;
        w.service->setRoutes(routesWithAccounts(3, "k1", request_quota{1, 1}));
        member_state self;
        self.name = {"front"};
        self.incarnation = 1;
        self.serving = true;
        self.storeReachable = true;
        w.service->setMembers(self, {});
        const int maxServed = maxCreditsPerWindow({1, 1}, w.settings.quota);
        int served = 0;
        std::string last;
        for (int i = 0; i < maxServed + 5; ++i) {
            last = w.ask(request("/safe/x", "r" + std::to_string(i), "Authorization: Bearer k1"));
            served += statusOf(last) == 200 ? 1 : 0;
        }
        CHECK(served == maxServed);
        CHECK(statusOf(last) == 429);
        CHECK(contains(last, "Retry-After: "));
        CHECK(statusOf(w.ask(request("/safe/x", "s1", "Authorization: Bearer k2"))) == 200);
    }
}

} // namespace azurehill::test
