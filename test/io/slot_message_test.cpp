#include "dispatch/slot_message.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace azurehill::test {

namespace {

/// Limits of what a receiver accepts; larger values are clamped.
constexpr std::int64_t maxMs = 600'000;
constexpr std::int64_t maxTokens = 1'000'000'000'000;

std::string anyText()
{
    return *rc::gen::string<std::string>();
}

duration anyTime()
{
    return milliseconds(*rc::gen::inRange<std::int64_t>(0, maxMs + 1));
}

std::int64_t anyTokens()
{
    return *rc::gen::inRange<std::int64_t>(0, maxTokens + 1);
}

template <class Enum>
Enum anyEnumerator()
{
    return static_cast<Enum>(*rc::gen::inRange<std::size_t>(0, enum_names<Enum>::names.size()));
}

slot_ticket anyTicket()
{
    return {{anyText()}, *rc::gen::arbitrary<std::int64_t>(), *rc::gen::arbitrary<std::uint64_t>()};
}

replica_incarnation anyReplica()
{
    return {{anyText()}, *rc::gen::arbitrary<std::int64_t>()};
}

slot_request anyRequest()
{
    slot_request m;
    m.ticket = anyTicket();
    m.service = anyText();
    m.route = anyText();
    m.account = {anyText()};
    m.accountWeight = 0.25 * *rc::gen::inRange(1, 1'000'000);
    m.program = {anyText()};
    m.session = anyText();
    m.requestId = anyText();
    m.rank = *rc::gen::arbitrary<int>();
    if (*rc::gen::arbitrary<bool>())
        m.timeToFinish = anyTime();
    m.timeLeft = anyTime();
    m.promptTokens = anyTokens();
    if (*rc::gen::arbitrary<bool>())
        m.budgetTokens = anyTokens();
    m.maxOutputTokens = anyTokens();
    m.retention = anyTime();
    return m;
}

slot_release anyRelease()
{
    slot_release m;
    m.ticket = anyTicket();
    m.service = anyText();
    m.program = {anyText()};
    m.requestId = anyText();
    m.outcome = anyEnumerator<send_outcome>();
    m.usedTokens = anyTokens();
    m.msPerEvent = 0.125 * *rc::gen::inRange(0, 10'000);
    return m;
}

slot_renewal anyRenewal()
{
    slot_renewal m;
    m.daemon = {anyText()};
    m.incarnation = *rc::gen::arbitrary<std::int64_t>();
    m.service = anyText();
    m.group = *rc::gen::arbitrary<std::uint32_t>();
    m.firstNumber = *rc::gen::arbitrary<std::uint64_t>();
    m.lastNumber = *rc::gen::arbitrary<std::uint64_t>();
    const int count = *rc::gen::inRange(0, 4);
    for (int i = 0; i < count; ++i) {
        active_ticket t;
        t.number = *rc::gen::arbitrary<std::uint64_t>();
        t.program = {anyText()};
        t.session = anyText();
        t.replica = anyReplica();
        t.maxOutputTokens = anyTokens();
        m.tickets.push_back(std::move(t));
    }
    return m;
}

// Two messages are equal if all of their fields are.

auto fieldsOf(const slot_request &m)
{
    return std::make_tuple(m.ticket, m.service, m.route, m.account, m.accountWeight, m.program,
                           m.session, m.requestId, m.rank, m.timeToFinish, m.timeLeft,
                           m.promptTokens, m.budgetTokens, m.maxOutputTokens, m.retention);
}
auto fieldsOf(const slot_queued &m)
{
    return std::make_tuple(m.number);
}
auto fieldsOf(const slot_grant &m)
{
    return std::make_tuple(m.number, m.replica, m.cachedTokens);
}
auto fieldsOf(const slot_refusal &m)
{
    return std::make_tuple(m.number, m.reason, m.retryAfter);
}
auto fieldsOf(const slot_release &m)
{
    return std::make_tuple(m.ticket, m.service, m.program, m.requestId, m.outcome, m.usedTokens,
                           m.msPerEvent);
}
auto fieldsOf(const active_ticket &m)
{
    return std::make_tuple(m.number, m.program, m.session, m.replica, m.maxOutputTokens);
}
auto fieldsOf(const slot_renewal &m)
{
    std::vector<decltype(fieldsOf(active_ticket()))> tickets;
    for (const active_ticket &t : m.tickets)
        tickets.push_back(fieldsOf(t));
    return std::make_tuple(m.daemon, m.incarnation, m.service, m.group, m.firstNumber, m.lastNumber,
                           tickets);
}
auto fieldsOf(const slot_renewed &m)
{
    return std::make_tuple(m.service, m.group);
}

template <class Message>
void checkRoundTrip(const Message &message)
{
    const auto decoded = decodeSlotMessage(encodeSlotMessage(message));
    RC_ASSERT(decoded.has_value());
    const auto *const same = std::get_if<Message>(&*decoded);
    RC_ASSERT(same != nullptr);
    RC_ASSERT(fieldsOf(*same) == fieldsOf(message));
}

} // namespace

TEST_SUITE("messages about slots")
{
    // Guards against fields that arrive in each other's place, and against ids of clients, which
    // may contain any byte, that make a datagram undecodable: the dispatcher would count as
    // unreachable for all other turns.
    TEST_CASE("every message is decoded as it was encoded")
    {
        CHECK(rc::check("requests", [] { checkRoundTrip(anyRequest()); }));
        CHECK(rc::check("queued",
                        [] { checkRoundTrip(slot_queued{*rc::gen::arbitrary<std::uint64_t>()}); }));
        CHECK(rc::check("grants", [] {
            checkRoundTrip(
                slot_grant{*rc::gen::arbitrary<std::uint64_t>(), anyReplica(), anyTokens()});
        }));
        CHECK(rc::check("refusals", [] {
            checkRoundTrip(slot_refusal{*rc::gen::arbitrary<std::uint64_t>(),
                                        anyEnumerator<slot_refusal_reason>(), anyTime()});
        }));
        CHECK(rc::check("releases", [] { checkRoundTrip(anyRelease()); }));
        CHECK(rc::check("renewals", [] { checkRoundTrip(anyRenewal()); }));
        CHECK(rc::check("answers to renewals", [] {
            checkRoundTrip(slot_renewed{anyText(), *rc::gen::arbitrary<std::uint32_t>()});
        }));
    }

    TEST_CASE("numbers out of bounds are clamped or refused")
    {
        slot_request request;
        request.ticket = {{"d"}, 1, 1};
        request.timeLeft = milliseconds(2 * maxMs);
        request.promptTokens = 2 * maxTokens;
        request.maxOutputTokens = -1;

        SUBCASE("times and tokens are clamped")
        {
            const auto decoded = decodeSlotMessage(encodeSlotMessage(request));
            REQUIRE(decoded.has_value());
            const auto &received = std::get<slot_request>(*decoded);
            CHECK(received.timeLeft == milliseconds(maxMs));
            CHECK(received.promptTokens == maxTokens);
            CHECK(received.maxOutputTokens == 0);
        }
        SUBCASE("the time of a program that is late stays stated")
        {
            request.timeToFinish = milliseconds(-300);
            const auto decoded = decodeSlotMessage(encodeSlotMessage(request));
            REQUIRE(decoded.has_value());
            CHECK(std::get<slot_request>(*decoded).timeToFinish == duration::zero());
        }
        SUBCASE("a weight that shares can't be divided by is refused")
        {
            request.accountWeight = 0;
            CHECK_FALSE(decodeSlotMessage(encodeSlotMessage(request)).has_value());
        }
        SUBCASE("an unknown reason is refused")
        {
            CHECK(decodeSlotMessage("[3,7,4,350]").has_value());
            CHECK_FALSE(decodeSlotMessage("[3,7,5,350]").has_value());
        }
    }
}

} // namespace azurehill::test
