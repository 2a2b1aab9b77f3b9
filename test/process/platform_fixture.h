#pragma once

#include "http/http.h"
#include "process/child.h"
#include "standin/store_standin.h"

#include <array>
#include <atomic>
#include <string>
#include <thread>

namespace azurehill::process_test {

/// \brief Settings of a daemon that tests change.
struct entry_settings
{
    int graceSeconds = 8;
    int memoryMegabytes = 256;
    int fileDescriptors = 1024;
};

/// \brief Test fixture: a store and a replica on a thread of their own, for one azurehill-entry.
class platform_fixture
{
public:
    explicit platform_fixture(const entry_settings &settings = {});
    ~platform_fixture();
    platform_fixture(const platform_fixture &) = delete;
    platform_fixture &operator=(const platform_fixture &) = delete;

    void writeSettings(const entry_settings &settings);
    std::string settingsPath() const { return folder.path() + "/settings.toml"; }

    /// \param arguments further arguments of the daemon.
    child startEntry(std::vector<std::string> arguments = {}) const;

    /// \brief Writes the replica's entry as a process that started at \p born would.
    void writeReplica(const std::string &state, std::int64_t born, int sequence);

    /// \brief Enters a replica at \p port into the list, for the paths that begin with "/f/".
    void writeFaultyReplica(std::uint16_t port);

    /// \brief Writes a row, on the store's thread once that runs.
    void writeRow(const row_name &name, const std::string &value);

    /// \returns the ports that the daemon wrote: clients, readiness, look-ups, peers.
    std::array<std::uint16_t, 4> ports() const;

    static constexpr std::int64_t bornFirst = 1'700'000'000'000;

    scratch_folder folder;
    /// Requests wait at the replica until this is set.
    std::atomic<bool> mayAnswer{true};
    std::atomic<int> arrived{0};
    /// Whether calls to the store get no answer.
    std::atomic<bool> isStoreSilent{false};

private:
    awaitable<void> answerRequest(const http_request &request, response_writer &writer);

    asio::io_context m_context;
    row_store m_rows;
    store_standin m_store;
    http_server m_replica;
    std::uint16_t m_storePort = 0;
    std::string m_address;
    std::thread m_thread;
};

/// \returns the answer to \p request on a new connection; status 0 if there is none.
http_response exchangeWith(std::uint16_t port, http_request request);
/// \returns the answer to a GET of \p target on a new connection; status 0 if there is none.
http_response get(std::uint16_t port, const std::string &target);
/// \returns whether the daemon of \p fixture says that it is ready.
bool isReady(const platform_fixture &fixture);

} // namespace azurehill::process_test
