#include "sched/call_quarantine.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <array>

namespace azurehill {

namespace {

/// \brief Test fixture: five replicas, listed by the platform.
class quarantine_fixture
{
public:
    quarantine_fixture() { setListed(0); }

    /// \brief Lists all replicas but the first \p gone.
    void setListed(int gone)
    {
        constexpr int all = 5;
        std::vector<replica> listed;
        for (int i = gone; i < all; ++i)
            listed.push_back({{fmt::format("r{}", i)}, "s", {"dc"}, addressOf(i), false, 0});
        quarantine.setReplicas(listed, now);
    }
    void lose(int i)
    {
        quarantine.onEnded(call, {fmt::format("r{}", i)}, addressOf(i), send_loss::ConnectionEnded,
                           now);
    }
    static std::string addressOf(int i) { return fmt::format("10.0.0.{}:80", i); }

    time_point now{seconds(100)};
    const request_fingerprint call = fingerprintOf(std::array<std::string_view, 1>{"call"});
    call_quarantine quarantine;
};

} // namespace

// Guards against a call that ends one replica after the other, repeated by its caller.
TEST_CASE_FIXTURE(quarantine_fixture, "A call is refused once three replicas ended under it")
{
    for (int i = 0; i < 3; ++i) {
        CHECK_FALSE(quarantine.check(call, now));
        lose(i);
    }
    const auto inDoubt = quarantine.check(call, now);
    REQUIRE(inDoubt);
    CHECK(inDoubt->reason == refusal_reason::ReplicasInDoubt);
    CHECK(inDoubt->retryAfter);

    SUBCASE("for good when the platform lists them no more")
    {
        setListed(3);
        const auto refused = quarantine.check(call, now);
        REQUIRE(refused);
        CHECK(refused->reason == refusal_reason::Quarantined);
        CHECK_FALSE(refused->retryAfter);
    }
    SUBCASE("not when one of them goes on to answer")
    {
        now += seconds(1);
        quarantine.onEnded(fingerprintOf(std::array<std::string_view, 1>{"other"}), {"r1"},
                           addressOf(1), std::nullopt, now);
        CHECK_FALSE(quarantine.check(call, now));
    }
}

} // namespace azurehill
