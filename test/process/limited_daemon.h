#pragma once

#include "process/platform_fixture.h"
#include "process/resource_watch.h"

#include <doctest/doctest.h>

#include <optional>
#include <sys/resource.h>

namespace azurehill::process_test {

constexpr std::chrono::milliseconds testTimeout(30'000);
/// Descriptors of a process that the platform keeps for files.
constexpr int reservedDescriptors = 200;
constexpr std::uint16_t metricsPort = 7131;

/// \brief A daemon with its platform, whose settings state how much it may hold.
class limited_daemon
{
public:
    /// \param faultyPort port of a replica for the paths that begin with "/f/", or 0.
    explicit limited_daemon(entry_settings settings, std::uint16_t faultyPort = 0)
        : fixture(settings), m_settings(settings), entry(start(faultyPort))
    {
        const auto descriptors = static_cast<rlim_t>(settings.fileDescriptors);
        const rlimit limit{descriptors, descriptors};
        REQUIRE(prlimit(entry.pid(), RLIMIT_NOFILE, &limit, nullptr) == 0);
        REQUIRE(holdsWithin(testTimeout, [&] { return isReady(fixture); }));
        REQUIRE(isServing());
        m_watch.emplace(entry.pid());
    }

    std::uint16_t clientPort() const { return fixture.ports()[0]; }
    std::uint16_t lookupPort() const { return fixture.ports()[2]; }

    /// \returns whether an ordinary request is answered, at once or after a refusal.
    bool isServing() const
    {
        return holdsWithin(testTimeout, [&] { return get(clientPort(), "/a/x").body == "whole"; });
    }

    bool isAnsweringLookups() const
    {
        return holdsWithin(testTimeout, [&] {
            const std::string body
                = get(lookupPort(), "/azurehill/resolve?name=h.example&region=r&zone=z").body;
            return body.find("addresses") != std::string::npos;
        });
    }

    /// \brief Waits until the replica has had no request for a while.
    void waitUntilReplicaIsIdle()
    {
        CHECK(settlesWithin(testTimeout, [this] { return fixture.arrived.load(); }));
    }

    /// \brief Checks that the process lives and has stayed within its settings.
    void checkLimits() { checkLimits(m_settings); }
    void checkLimits(const entry_settings &settings)
    {
        CHECK_FALSE(entry.exitStatus());
        CHECK(m_watch->peakMemory() <= std::int64_t(settings.memoryMegabytes) << 20U);
        CHECK(m_watch->peakDescriptors() <= settings.fileDescriptors - reservedDescriptors);
    }

    platform_fixture fixture;

private:
    child start(std::uint16_t faultyPort)
    {
        if (faultyPort != 0)
            fixture.writeFaultyReplica(faultyPort);
        return fixture.startEntry({"--metrics-port", std::to_string(metricsPort)});
    }

    entry_settings m_settings;

public:
    child entry;

private:
    std::optional<resource_watch> m_watch;
};

inline entry_settings smallHost()
{
    return {8, 64, 4100};
}

} // namespace azurehill::process_test
