#include "quota/quota.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace azurehill {

namespace {

const account_id account{"a"};
const request_quota quota{4, 10};

account_registry accountsWith(const request_quota &limit)
{
    account_config config;
    config.name = account;
    config.quota = limit;
    return *account_registry::make({config});
}

/// Outcome of a write of the row.
enum class write_outcome { Answered, AnswerLost, Late, NotApplied };

/// \brief Simulation of daemons that write one row, lend credits under it, crash and are
/// partitioned, in any order.
///
/// A daemon that tries to acquire the row may consider any holder unreachable at any time. That is
/// more than network partitions, freezes and crashes can cause together.
class quota_simulation
{
public:
    explicit quota_simulation(int daemons) : m_daemons(static_cast<std::size_t>(daemons))
    {
        for (std::size_t i = 0; i < m_daemons.size(); ++i)
            m_daemons[i].state = makeState(i);
    }

    void advance(duration time)
    {
        m_now += time;
        std::vector<delayed_write> due;
        std::swap(due, m_late);
        for (delayed_write &w : due) {
            if (w.at > m_now)
                m_late.push_back(std::move(w));
            else if (w.expected == m_version)
                store(w.row);
        }
    }

    void write(std::size_t i, write_outcome fate)
    {
        daemon &d = m_daemons[i];
        constexpr int tries = 4;
        for (int n = 0; n < tries; ++n) {
            const quota_row row = d.state->prepare(m_accounts, m_now);
            if (fate == write_outcome::Late)
                m_late.push_back({row, d.version, m_now + seconds(4)});
            if (fate == write_outcome::Late || fate == write_outcome::NotApplied)
                return;
            if (d.version == m_version) {
                store(row);
                if (fate == write_outcome::Answered) {
                    d.version = m_version;
                    d.state->onRowWritten(row, m_now);
                }
                return;
            }
            const bool isMine = m_row->holder == name(i) && m_row->incarnation == d.incarnation
                && !m_row->isReleased;
            if (!isMine)
                d.state->takeOver(m_row, stateOf(*m_row), m_now);
            d.version = m_version;
        }
    }

    void release(std::size_t i)
    {
        daemon &d = m_daemons[i];
        if (!d.state->isHeld() || d.version != m_version)
            return;
        store(d.state->release(m_now));
        d.version = m_version;
    }

    void restart(std::size_t i)
    {
        ++m_daemons[i].incarnation;
        m_daemons[i].version = 0;
        m_daemons[i].state = makeState(i);
    }

    /// \brief Requests a credit that, if lent, is used \p after the request.
    void requestCredit(std::size_t i, duration after, credit_use use)
    {
        quota_shard_state &state = *m_daemons[i].state;
        if (!state.mayLend(m_now))
            return;
        const int most = maxCreditsPerWindow(quota, m_bound);
        const credit_id id{name(i), 0, ++m_number};
        if (state.lend(account, id, use, most, m_now).verdict == lend_verdict::Lent)
            m_useTimes.push_back(m_now + after);
    }

    /// \returns the maximum number of credits used in any window.
    std::size_t maxUsesPerWindow()
    {
        std::sort(m_useTimes.begin(), m_useTimes.end());
        std::size_t maxUses = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < m_useTimes.size(); ++last) {
            while (m_useTimes[last] - m_useTimes[first] > m_bound.window)
                ++first;
            maxUses = std::max(maxUses, last - first + 1);
        }
        return maxUses;
    }

    std::size_t size() const { return m_daemons.size(); }
    std::size_t used() const { return m_useTimes.size(); }

private:
    struct daemon
    {
        std::optional<quota_shard_state> state;
        store_version version = 0;
        std::int64_t incarnation = 1;
    };
    struct delayed_write
    {
        quota_row row;
        store_version expected = 0;
        time_point at;
    };

    static daemon_id name(std::size_t i) { return {"d" + std::to_string(i)}; }
    quota_shard_state makeState(std::size_t i) const
    {
        return {name(i), m_daemons[i].incarnation, m_bound};
    }
    holder_state stateOf(const quota_row &row) const
    {
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            if (name(i) == row.holder && m_daemons[i].incarnation > row.incarnation)
                return holder_state::NoLongerLending;
        }
        return row.isReleased ? holder_state::NoLongerLending : holder_state::Unreachable;
    }
    void store(const quota_row &row)
    {
        // Encoded and decoded, so that any loss of precision in the encoding occurs here too.
        m_row = decodeQuotaRow(encodeQuotaRow(row));
        ++m_version;
    }

    quota_bound m_bound;
    account_registry m_accounts = accountsWith(quota);
    std::vector<daemon> m_daemons;
    time_point m_now{seconds(1000)};
    std::optional<quota_row> m_row;
    store_version m_version = 0;
    std::vector<delayed_write> m_late;
    std::vector<time_point> m_useTimes;
    std::uint64_t m_number = 0;
};

void randomStep(quota_simulation &simulation)
{
    const auto i = *rc::gen::inRange<std::size_t>(0, simulation.size());
    const int kind = *rc::gen::inRange(0, 20);
    if (kind < 3)
        simulation.write(i, write_outcome::Answered);
    else if (kind == 3)
        simulation.write(i, write_outcome::AnswerLost);
    else if (kind == 4)
        simulation.write(i, write_outcome::Late);
    else if (kind == 5)
        simulation.write(i, write_outcome::NotApplied);
    else if (kind == 6)
        simulation.release(i);
    else if (kind == 7)
        simulation.restart(i);
    else if (kind < 12)
        simulation.advance(milliseconds(*rc::gen::inRange(1, 1500)));
    else
        for (int n = *rc::gen::inRange(1, 40); n > 0; --n)
            simulation.requestCredit(i, milliseconds(*rc::gen::inRange(0, 251)),
                                     n % 4 == 0 ? credit_use::Begin : credit_use::Continue);
}

} // namespace

// Guards against several daemons that each lend an account's whole quota, because they learn of
// each other late.
TEST_CASE("whatever dies, is cut off or answers late, no window has more than the bound used in it")
{
    for (const int daemons : {3, 30, 88, 300}) {
        CHECK(rc::check("bound over " + std::to_string(daemons) + " daemons", [daemons] {
            quota_simulation simulation(daemons);
            // Most steps fall on a few daemons, so that the row changes holders and returns to
            // earlier ones.
            for (int n = *rc::gen::inRange(1, 120); n > 0; --n)
                randomStep(simulation);
            RC_ASSERT(simulation.maxUsesPerWindow()
                      <= std::size_t(maxCreditsPerWindow(quota, quota_bound())));
        }));
    }
}

TEST_CASE("a holder's death costs its account a part of the credits for a while, not all")
{
    quota_bound bound;
    const account_registry accounts = accountsWith({100, 100});
    const int most = maxCreditsPerWindow({100, 100}, bound);
    time_point now{seconds(1000)};
    quota_shard_state first({"d1"}, 1, bound);
    first.takeOver(std::nullopt, holder_state::NoLongerLending, now);
    const quota_row row = first.prepare(accounts, now);
    first.onRowWritten(row, now);
    REQUIRE(first.mayLend(now));
    quota_shard_state second({"d2"}, 1, bound);
    const auto lendAll = [&] {
        int lent = 0;
        second.onRowWritten(second.prepare(accounts, now), now);
        for (std::uint64_t i = 0; i < 2000; ++i) {
            const lend_result r
                = second.lend(account, {{"d2"}, 1, i}, credit_use::Continue, most, now);
            if (r.verdict == lend_verdict::ReservationTooSmall)
                second.onRowWritten(second.prepare(accounts, now), now);
            lent += r.verdict == lend_verdict::Lent ? 1 : 0;
        }
        return lent;
    };

    SUBCASE("its successor lends at once what it may not have lent")
    {
        second.takeOver(row, holder_state::Unreachable, now);
        CHECK(lendAll() >= most / 2);
    }
    SUBCASE("and all of it once nothing that it may have lent counts")
    {
        second.takeOver(row, holder_state::Unreachable, now);
        now += quota_shard_state::lendingLeaseDuration + credit_ledger::creditLifetime
            + bound.window + milliseconds(1);
        CHECK(lendAll() == most);
    }
    SUBCASE("a holder that ended lends no more, so that it counts for one window only")
    {
        second.takeOver(row, holder_state::NoLongerLending, now);
        now += credit_ledger::creditLifetime + bound.window + milliseconds(1);
        CHECK(lendAll() == most);
    }
    SUBCASE("a holder that can't write its row stops in time")
    {
        CHECK(first.mayLend(now + quota_shard_state::lendingLeaseDuration - milliseconds(1)));
        CHECK_FALSE(first.mayLend(now + quota_shard_state::lendingLeaseDuration));
    }
}

TEST_CASE("a row of quotas and its messages are read as they were written")
{
    quota_row row{{"d1"}, 7, true, {}};
    row.reservations[account] = {12, {{3, milliseconds(400)}}};
    const auto read = decodeQuotaRow(encodeQuotaRow(row));
    REQUIRE(read);
    CHECK(read->holder == row.holder);
    CHECK(read->isReleased);
    CHECK(read->reservations.at(account).peerCredits.at(0).credits == 3);
    CHECK_FALSE(decodeQuotaRow("{}"));
    CHECK_FALSE(decodeQuotaRow(R"({"holder":"d","incarnation":1,"released":false,
        "levels":{"a":{"credits":-1,"foreign":[]}}})"));

    const credit_id id{{"d1"}, 7, 42};
    const auto ask
        = decodeQuotaMessage(encodeQuotaMessage(credit_request{id, account, credit_use::Begin}));
    REQUIRE(ask);
    CHECK(std::get<credit_request>(*ask).id == id);
    CHECK(std::get<credit_request>(*ask).use == credit_use::Begin);
    const auto denied = decodeQuotaMessage(encodeQuotaMessage(credit_denied{9, milliseconds(70)}));
    REQUIRE(denied);
    CHECK(std::get<credit_denied>(*denied).retryAfter == milliseconds(70));
    CHECK_FALSE(decodeQuotaMessage("[9]"));
    CHECK_FALSE(decodeQuotaMessage("[0,1]"));
    CHECK_FALSE(decodeQuotaMessage("{}"));
}

} // namespace azurehill
