#include "accounts/accounts.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace azurehill {

namespace {

account_config accountConfig(const std::string &name, const std::vector<std::string> &keys)
{
    account_config r;
    r.name = {name};
    for (const std::string &key : keys)
        r.keys.push_back(digestOf(key));
    return r;
}

} // namespace

TEST_CASE("a bearer key is parsed from the Authorization header")
{
    CHECK(bearerKey("Bearer k1") == "k1");
    CHECK(bearerKey("Bearer   k1") == "k1");

    SUBCASE("scheme names are case-insensitive")
    {
        CHECK(bearerKey("bearer k1") == "k1");
        CHECK(bearerKey("BEARER k1") == "k1");
    }
    SUBCASE("other schemes carry no key")
    {
        CHECK_FALSE(bearerKey("Basic azE="));
        CHECK_FALSE(bearerKey("Bearerk1"));
    }
    SUBCASE("an empty key counts as no key")
    {
        CHECK_FALSE(bearerKey(""));
        CHECK_FALSE(bearerKey("Bearer"));
        CHECK_FALSE(bearerKey("Bearer "));
    }
}

TEST_CASE("a request is authenticated against the accounts of the active configuration")
{
    const auto book
        = account_registry::make({accountConfig("a", {"k1", "k2"}), accountConfig("b", {"k3"})});
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
    SUBCASE("only a public route accepts requests without a key")
    {
        CHECK(checkAccess(*book, false, no_credential()).verdict == access_verdict::NoKey);
        CHECK(checkAccess(*book, true, no_credential()).verdict == access_verdict::Allowed);
        CHECK(checkAccess(*book, true, no_credential()).account == nullptr);
        CHECK(checkAccess(*book, true, invalid_credential()).verdict == access_verdict::NoKey);
    }
    SUBCASE("on a public route a known key still identifies the account")
    {
        CHECK(checkAccess(*book, true, known).account->name.value == "a");
    }
    SUBCASE("without accounts no request needs a key")
    {
        CHECK(checkAccess({}, false, unknown).verdict == access_verdict::Allowed);
        CHECK(checkAccess({}, false, no_credential()).verdict == access_verdict::Allowed);
    }
}

TEST_CASE("a set of accounts that conflict with each other is rejected as a whole")
{
    CHECK_FALSE(account_registry::make({accountConfig("a", {"k"}), accountConfig("b", {"k"})}));
    CHECK_FALSE(account_registry::make({accountConfig("a", {"k"}), accountConfig("a", {"l"})}));
    CHECK_FALSE(account_registry::make({accountConfig("", {"k"})}));
    CHECK_FALSE(account_registry::make({accountConfig("a\r\nX-Other: b", {"k"})}));
    CHECK_FALSE(account_registry::make({accountConfig(std::string(1000, 'a'), {"k"})}));

    SUBCASE("an account may list a key twice, and may have no key")
    {
        CHECK(account_registry::make({accountConfig("a", {"k", "k"}), accountConfig("b", {})}));
    }
    SUBCASE("a key may move to another account in the next version")
    {
        const auto next
            = account_registry::make({accountConfig("a", {}), accountConfig("b", {"k"})});
        REQUIRE(next);
        CHECK(next->findByKey(digestOf("k"))->name.value == "b");
    }
    SUBCASE("an account may have 10000 keys")
    {
        std::vector<std::string> keys;
        keys.reserve(10'000);
        for (int i = 0; i < 10'000; ++i)
            keys.push_back(fmt::format("key-{}", i));
        const auto book = account_registry::make({accountConfig("a", keys)});
        REQUIRE(book);
        CHECK(book->findByKey(digestOf("key-9999"))->name.value == "a");
    }
}

} // namespace azurehill
