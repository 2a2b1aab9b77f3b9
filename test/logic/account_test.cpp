#include "accounts/accounts.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace azurehill {

namespace {

account_config rule(const std::string &name, const std::vector<std::string> &keys)
{
    account_config r;
    r.name = {name};
    for (const std::string &key : keys)
        r.keys.push_back(digestOf(key));
    return r;
}

} // namespace

TEST_CASE("a key is read from the header that carries it")
{
    CHECK(bearerKey("Bearer k1") == "k1");
    CHECK(bearerKey("Bearer   k1") == "k1");

    SUBCASE("schemes have any case")
    {
        CHECK(bearerKey("bearer k1") == "k1");
        CHECK(bearerKey("BEARER k1") == "k1");
    }
    SUBCASE("another scheme carries no key")
    {
        CHECK_FALSE(bearerKey("Basic azE="));
        CHECK_FALSE(bearerKey("Bearerk1"));
    }
    SUBCASE("an empty key is none")
    {
        CHECK_FALSE(bearerKey(""));
        CHECK_FALSE(bearerKey("Bearer"));
        CHECK_FALSE(bearerKey("Bearer "));
    }
}

TEST_CASE("a request is judged by the accounts in force")
{
    const auto book = account_registry::make({rule("a", {"k1", "k2"}), rule("b", {"k3"})});
    REQUIRE(book);
    const credential known = digestOf("k2");
    const credential unknown = digestOf("k9");

    SUBCASE("a known key belongs to its account")
    {
        const access got = checkAccess(*book, false, known);
        CHECK(got.verdict == access_verdict::Allowed);
        REQUIRE(got.account);
        CHECK(got.account->name.value == "a");
    }
    SUBCASE("an unknown key is refused, also on a public route")
    {
        CHECK(checkAccess(*book, false, unknown).verdict == access_verdict::UnknownKey);
        CHECK(checkAccess(*book, true, unknown).verdict == access_verdict::UnknownKey);
    }
    SUBCASE("only a public route takes requests without a key")
    {
        CHECK(checkAccess(*book, false, no_credential()).verdict == access_verdict::NoKey);
        CHECK(checkAccess(*book, true, no_credential()).verdict == access_verdict::Allowed);
        CHECK(checkAccess(*book, true, no_credential()).account == nullptr);
        CHECK(checkAccess(*book, true, invalid_credential()).verdict == access_verdict::NoKey);
    }
    SUBCASE("on a public route a known key still tells the account")
    {
        CHECK(checkAccess(*book, true, known).account->name.value == "a");
    }
    SUBCASE("without accounts nobody needs a key")
    {
        CHECK(checkAccess({}, false, unknown).verdict == access_verdict::Allowed);
        CHECK(checkAccess({}, false, no_credential()).verdict == access_verdict::Allowed);
    }
}

TEST_CASE("accounts that can't be in force together are refused whole")
{
    CHECK_FALSE(account_registry::make({rule("a", {"k"}), rule("b", {"k"})}));
    CHECK_FALSE(account_registry::make({rule("a", {"k"}), rule("a", {"l"})}));
    CHECK_FALSE(account_registry::make({rule("", {"k"})}));
    CHECK_FALSE(account_registry::make({rule("a\r\nX-Other: b", {"k"})}));
    CHECK_FALSE(account_registry::make({rule(std::string(1000, 'a'), {"k"})}));

    SUBCASE("one account may name a key twice, and have none")
    {
        CHECK(account_registry::make({rule("a", {"k", "k"}), rule("b", {})}));
    }
    SUBCASE("a key may be another account's in the next version")
    {
        const auto next = account_registry::make({rule("a", {}), rule("b", {"k"})});
        REQUIRE(next);
        CHECK(next->holder(digestOf("k"))->name.value == "b");
    }
    SUBCASE("an account holds very many keys")
    {
        std::vector<std::string> keys;
        keys.reserve(10'000);
        for (int i = 0; i < 10'000; ++i)
            keys.push_back(fmt::format("key-{}", i));
        const auto book = account_registry::make({rule("a", keys)});
        REQUIRE(book);
        CHECK(book->holder(digestOf("key-9999"))->name.value == "a");
    }
}

} // namespace azurehill
