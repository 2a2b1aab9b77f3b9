#include "crashes/crashes.h"
#include "fake_store.h"
#include "loopback.h"

#include <doctest/doctest.h>

#include <array>

namespace azurehill::test {

namespace {

constexpr duration step = milliseconds(1);
const request_fingerprint request = fingerprintOf(std::array<std::string_view, 1>{"request"});

crash_report lossOf(std::uint64_t send)
{
    return {request, duration::zero(), {{send, send, replica_fate::Suspected}}};
}

/// \brief Test fixture: an archive, and its store.
class archive_fixture
{
public:
    void wait(duration time) { runInSteps(m_context, sleepFor(time), step); }
    /// \returns the time for which a client is kept waiting for the rows of the request.
    duration waitUntilStored()
    {
        const time_point began = runtime_clock::now();
        runInSteps(m_context, archive.waitUntilStored(request), step);
        return runtime_clock::now() - began;
    }
    void removeAll() { runInSteps(m_context, archive.removeAll(request), step); }
    std::size_t countStored() { return m_rows.read(crash_rows::all()).rows.size(); }
    std::size_t countRead()
    {
        std::size_t count = 0;
        auto body = [&]() -> awaitable<void> {
            const auto page = co_await archive.read(crash_rows::all(), seconds(1));
            count = page ? page->reports.size() : 0;
        };
        runInSteps(m_context, body(), step);
        return count;
    }
    /// \brief Writes a row that no daemon writes.
    void corrupt()
    {
        store_transaction t;
        t.writes.push_back({{crash_rows::all().table, "", "key"}, "value"});
        static_cast<void>(m_rows.apply(t));
    }

private:
    const paused_clock m_pause;
    asio::io_context m_context;
    row_store m_rows;

public:
    fake_store store{m_rows};
    crash_archive archive{m_context.get_executor(), store};
};

} // namespace

TEST_SUITE("archive of lost sends")
{
    TEST_CASE_FIXTURE(archive_fixture, "lost sends are in the store before a client is answered")
    {
        archive.put(lossOf(1));
        CHECK(waitUntilStored() < crash_archive::storeTimeout);
        CHECK(countStored() == 1);

        SUBCASE("until they are cleared")
        {
            archive.remove(lossOf(1));
            waitUntilStored();
            CHECK(countStored() == 0);
        }
        SUBCASE("until an operator lifts the request, whoever wrote them")
        {
            removeAll();
            waitUntilStored();
            CHECK(countStored() == 0);
        }
        // Guards against a row of another writer that hides the evidence of all others.
        SUBCASE("and are read beside rows that can't be decoded")
        {
            corrupt();
            CHECK(countRead() == 1);
        }
    }

    // Guards against a wave of crashes that uses up the write rate of the store.
    TEST_CASE_FIXTURE(archive_fixture, "what is lost during a write goes into the next one")
    {
        constexpr int sends = 40;
        for (int i = 1; i <= sends; ++i) {
            archive.put(lossOf(std::uint64_t(i)));
            if (i == 1)
                wait(step);
        }
        waitUntilStored();
        CHECK(countStored() == sends);
        CHECK(store.calls == 2);
    }

    // Guards against evidence that is given up with the write that failed.
    TEST_CASE_FIXTURE(archive_fixture, "a write that fails is repeated")
    {
        for (const store_fault fault :
             {store_fault::Refused, store_fault::Limited, store_fault::RequestDropped,
              store_fault::ResponseDropped}) {
            int failures = 3;
            store.nextFault = [&] { return failures-- > 0 ? fault : store_fault::None; };
            archive.put(lossOf(std::uint64_t(fault) + 1));
            wait(seconds(5));
            CHECK(countStored() == std::size_t(fault));
        }
    }

    // Guards against clients that wait for a store that does not answer.
    TEST_CASE_FIXTURE(archive_fixture, "clients wait for the store only so long")
    {
        store.nextFault = [] { return store_fault::RequestDropped; };
        archive.put(lossOf(1));
        CHECK(waitUntilStored() <= crash_archive::storeTimeout + step);
        store.reachable = false;
        CHECK(waitUntilStored() <= step);
    }
}

} // namespace azurehill::test
