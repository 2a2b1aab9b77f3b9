#include "fake_store.h"
#include "loopback.h"
#include "store/paced_store.h"

#include <doctest/doctest.h>

namespace azurehill::test {

namespace {

time_point later(duration d)
{
    return runtime_clock::now() + d;
}

row_name rowOf(const std::string &program)
{
    return {"turns", program, "account"};
}

store_transaction put(const std::string &program, store_version expected)
{
    store_transaction t;
    t.urgency = write_urgency::Begin;
    t.conditions.push_back({rowOf(program), expected});
    t.writes.push_back({rowOf(program), "value of " + program});
    return t;
}

/// \brief A paced store, and writes that are wanted at the same moment.
struct paced_store_fixture
{
    row_store rows;
    fake_store inner{rows};
    asio::io_context context;
    paced_store paced{context.get_executor(), inner};
    std::vector<store_result<store_version>> results;

    /// \brief The store's rate is so low that all but the first wait and go together.
    paced_store_fixture() { paced.setRates(1, 1); }

    awaitable<void> write(store_transaction t, duration patience, std::size_t place)
    {
        auto result = co_await paced.transact(std::move(t), later(patience));
        results.at(place) = std::move(result);
    }

    void writeAll(const std::vector<store_transaction> &writes, duration patience = seconds(30))
    {
        writeAll(writes, std::vector<duration>(writes.size(), patience));
    }

    /// \param patience how long the caller of each write waits.
    void writeAll(const std::vector<store_transaction> &writes,
                  const std::vector<duration> &patience)
    {
        const paused_clock pause;
        results.assign(writes.size(), store_version(0));
        auto all = [&]() -> awaitable<void> {
            int open = int(writes.size());
            for (std::size_t i = 0; i < writes.size(); ++i) {
                auto one
                    = [this, t = writes[i], patience = patience[i], i, &open]() -> awaitable<void> {
                    store_transaction copy = t;
                    co_await write(std::move(copy), patience, i);
                    --open;
                };
                asio::co_spawn(context, std::move(one), asio::detached);
            }
            while (open > 0)
                co_await sleepFor(milliseconds(20));
        };
        runInSteps(context, all(), milliseconds(20));
    }
};

} // namespace

TEST_SUITE("paced store")
{
    TEST_CASE("writes that waited go together, and each gets its own result")
    {
        paced_store_fixture w;
        // The first two use up what was saved.
        const std::vector<store_transaction> writes{put("a", 0), put("b", 0), put("c", 0),
                                                    put("d", 0), put("e", 0)};

        SUBCASE("all of them are done, in fewer calls")
        {
            w.writeAll(writes);
            for (const auto &result : w.results)
                CHECK(result);
            CHECK(w.rows.size() == writes.size());
            CHECK(w.inner.calls < int(writes.size()));
        }
        SUBCASE("one whose condition fails holds up no other")
        {
            // Another daemon had written the account of "d": the programs whose writes shared its
            // transaction must not be told of a conflict that is not theirs.
            store_transaction t;
            t.writes.push_back({rowOf("d"), "another daemon's"});
            static_cast<void>(w.rows.apply(t));
            w.writeAll(writes);
            for (std::size_t i = 0; i < writes.size(); ++i)
                CHECK(w.results[i].has_value() == (i != 3));
            REQUIRE_FALSE(w.results[3]);
            CHECK(w.results[3].error().kind == store_error_kind::Conflict);
            REQUIRE(w.results[3].error().current.size() == 1);
            CHECK(w.results[3].error().current.front().value == "another daemon's");
        }
        SUBCASE("an answer that is lost leaves all of them in doubt")
        {
            w.inner.nextFault = [] { return store_fault::ResponseDropped; };
            w.writeAll(writes);
            for (const auto &result : w.results) {
                REQUIRE_FALSE(result);
                CHECK(result.error().kind == store_error_kind::Unknown);
            }
        }
    }

    TEST_CASE("a write whose time is nearly over cuts short no call that it shares")
    {
        // At its limit the store answered in 300 ms. Each call had a write in it with less time
        // left, so all were given up and asked again: ends of answers waited for two seconds.
        paced_store_fixture w;
        w.inner.nextFault = [] { return store_fault::Slow; };
        std::vector<store_transaction> writes;
        std::vector<duration> patience;
        for (int i = 0; i < 6; ++i) {
            writes.push_back(put("p" + std::to_string(i), 0));
            patience.push_back(i == 5 ? milliseconds(1200) : milliseconds(9000));
        }
        w.writeAll(writes, patience);
        for (int i = 0; i < 5; ++i)
            CHECK(w.results[std::size_t(i)]);
        REQUIRE_FALSE(w.results[5]);
        CHECK(w.results[5].error().kind == store_error_kind::Unknown);
    }

    TEST_CASE("a write beyond the store's rate goes again, and is given up in time")
    {
        paced_store_fixture w;
        int refusals = 3;
        w.inner.nextFault
            = [&] { return refusals-- > 0 ? store_fault::Limited : store_fault::None; };

        SUBCASE("once the store takes it, it is done")
        {
            w.writeAll({put("a", 0)});
            CHECK(w.results.front());
            CHECK(w.inner.calls == 4);
        }
        SUBCASE("its time is over before: nothing was done, and that is certain")
        {
            refusals = 1000;
            w.writeAll({put("a", 0), put("b", 0)}, milliseconds(1500));
            for (const auto &result : w.results) {
                REQUIRE_FALSE(result);
                CHECK(result.error().kind == store_error_kind::Refused);
            }
            CHECK(w.rows.size() == 0);
            CHECK(w.paced.queue().waiting() == 0);
        }
    }
}

} // namespace azurehill::test
