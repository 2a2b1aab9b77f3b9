#include "limits/limits.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>
#include <vector>

using namespace azurehill;

namespace {

/// \brief A holder that records whether it was revoked.
struct recorded_holder
{
    explicit recorded_holder(memory_account &account) : holder(account, [this] { isTold = true; })
    { }

    bool isTold = false;
    memory_account::holder holder;
};

} // namespace

TEST_SUITE("limits of a process")
{
    // Guards against shares that each fit and together exceed the process.
    TEST_CASE("all shares together stay below the memory and the descriptors of the process")
    {
        CHECK(rc::check("any size of process", [] {
            const std::int64_t memory = *rc::gen::inRange<std::int64_t>(16, 4096) << 20U;
            const int descriptors = *rc::gen::inRange(512, 100'000);
            const process_limits limits = limitsFor(memory, descriptors);
            RC_ASSERT(limits.totalBytes() <= memory / 16 * 11);
            RC_ASSERT(limits.totalDescriptors() < descriptors - fileDescriptorReserve);
        }));
    }

    // Guards against a process that refuses every request that the operator's limits allow.
    TEST_CASE("the smallest process holds a request at every default limit")
    {
        const memory_account account(limitsFor(64LL << 20U, 1024).connectionBytes);
        CHECK(account.couldHold(largestCost(16U << 10U, 4U << 20U).total()));
    }

    TEST_CASE("holders share the limit of their account")
    {
        constexpr std::int64_t limit = 1 << 20;
        memory_account account(limit);
        recorded_holder first(account);
        recorded_holder second(account);

        SUBCASE("what one holds, another can't have")
        {
            REQUIRE(first.holder.tryResize(limit / 2));
            CHECK_FALSE(second.holder.tryResize(limit / 2));
            CHECK(second.holder.tryResize(limit / 4));
            CHECK(account.usedBytes() == limit / 4 * 3);
            SUBCASE("until it is given back")
            {
                REQUIRE(first.holder.tryResize(0));
                CHECK(second.holder.tryResize(limit / 2));
            }
        }
        SUBCASE("a part is kept for small ones")
        {
            REQUIRE(first.holder.tryResize(limit / 4 * 3));
            CHECK_FALSE(second.holder.tryResize(memory_account::maxSmallBytes + 1));
            CHECK(second.holder.tryResize(memory_account::maxSmallBytes));
        }
        SUBCASE("the last part is kept for requests in progress")
        {
            constexpr std::int64_t small = memory_account::maxSmallBytes;
            std::vector<std::unique_ptr<recorded_holder>> others;
            do
                others.push_back(std::make_unique<recorded_holder>(account));
            while (others.back()->holder.tryResize(small));
            REQUIRE(account.usedBytes() <= limit / 16 * 15);
            const std::int64_t left = limit - account.usedBytes();
            CHECK_FALSE(first.holder.tryResize(left));
            CHECK_FALSE(first.holder.tryResizeInProgress(left + 1));
            CHECK(first.holder.tryResizeInProgress(left));
            CHECK(account.usedBytes() == limit);
            SUBCASE("until something is given back")
            {
                CHECK_FALSE(second.holder.tryResizeInProgress(1));
                REQUIRE(first.holder.tryResizeInProgress(0));
                CHECK(second.holder.tryResizeInProgress(1));
            }
        }
        SUBCASE("one that waits makes way for a much smaller one")
        {
            REQUIRE(first.holder.tryResize(limit / 4 * 3));
            first.holder.setRevocable(true);
            CHECK(second.holder.tryResize(limit / 2, 1000));
            CHECK(first.isTold);
            CHECK(first.holder.isRevoked());
            CHECK(account.usedBytes() == limit / 2);
            SUBCASE("and gets nothing any more")
            {
                CHECK_FALSE(first.holder.tryResize(1));
            }
        }
        SUBCASE("one that waits stays beside one of about its size")
        {
            REQUIRE(first.holder.tryResize(limit / 2));
            first.holder.setRevocable(true);
            CHECK_FALSE(second.holder.tryResize(limit / 2));
            CHECK_FALSE(first.isTold);
            CHECK(account.shortages() == 1);
        }
        SUBCASE("one that is being served stays")
        {
            REQUIRE(first.holder.tryResize(limit / 4 * 3));
            CHECK_FALSE(second.holder.tryResize(limit / 2, 1000));
            CHECK_FALSE(first.isTold);
        }
    }

    // Guards against an account that loses or keeps bytes of connections that have ended.
    TEST_CASE("the account is the sum of its holders")
    {
        CHECK(rc::check("any sizes, any order", [] {
            memory_account account(10'000'000);
            constexpr int count = 8;
            std::vector<std::unique_ptr<recorded_holder>> holders;
            holders.reserve(count);
            const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, count), rc::gen::inRange(0, 4'000'000)));
            for (int i = 0; i < count; ++i)
                holders.push_back(std::make_unique<recorded_holder>(account));
            for (const auto &[index, bytes] : steps) {
                auto &one = holders[static_cast<std::size_t>(index)];
                if (bytes % 7 == 0)
                    one = std::make_unique<recorded_holder>(account);
                one->holder.setRevocable(bytes % 2 == 0);
                one->holder.tryResize(bytes, bytes / 4);
                std::int64_t sum = 0;
                for (const auto &other : holders)
                    sum += other->holder.bytes();
                RC_ASSERT(account.usedBytes() == sum);
                RC_ASSERT(sum <= 10'000'000);
            }
        }));
    }
}
