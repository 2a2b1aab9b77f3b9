#include "process/resource_watch.h"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace azurehill::process_test {

namespace {

constexpr std::chrono::milliseconds memoryPeriod(50);
constexpr std::chrono::milliseconds descriptorPeriod(5);
constexpr std::int64_t kibibyte = 1024;

/// \returns the field \p name of the status of \p pid in bytes, or 0.
std::int64_t statusBytes(pid_t pid, const std::string &name)
{
    std::ifstream file(fmt::format("/proc/{}/status", pid));
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(name + ":"))
            return std::stoll(line.substr(name.size() + 1)) * kibibyte;
    }
    return 0;
}

/// \returns the inodes of the sockets of \p pid.
std::set<std::string> socketsOf(pid_t pid)
{
    std::set<std::string> result;
    std::error_code code;
    std::filesystem::directory_iterator files(fmt::format("/proc/{}/fd", pid), code);
    for (; !code && files != std::filesystem::directory_iterator(); files.increment(code)) {
        std::error_code gone;
        const std::string target = std::filesystem::read_symlink(files->path(), gone).string();
        constexpr std::string_view prefix = "socket:[";
        if (target.starts_with(prefix))
            result.insert(target.substr(prefix.size(), target.size() - prefix.size() - 1));
    }
    return result;
}

/// \returns the bytes that wait to be read from \p sockets.
std::int64_t unreadBytes(pid_t pid, const std::set<std::string> &sockets)
{
    std::ifstream file(fmt::format("/proc/{}/net/tcp", pid));
    std::int64_t total = 0;
    for (std::string line; std::getline(file, line);) {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        std::string skipped;
        std::string inode;
        fields >> number >> local >> remote >> state >> queues;
        for (int i = 0; i < 4; ++i)
            fields >> skipped;
        fields >> inode;
        constexpr std::string_view listening = "0A";
        const std::size_t colon = queues.find(':');
        if (colon == std::string::npos || state == listening || !sockets.contains(inode))
            continue;
        constexpr int hexadecimal = 16;
        total += std::stoll(queues.substr(colon + 1), nullptr, hexadecimal);
    }
    return total;
}

} // namespace

resource_watch::resource_watch(pid_t pid) : m_pid(pid)
{
    sampleDescriptors();
    m_memoryThread = std::thread([this] {
        while (!m_stops) {
            sampleMemory();
            std::this_thread::sleep_for(memoryPeriod);
        }
    });
    m_descriptorThread = std::thread([this] {
        while (!m_stops) {
            sampleDescriptors();
            std::this_thread::sleep_for(descriptorPeriod);
        }
    });
}

resource_watch::~resource_watch()
{
    m_stops = true;
    m_memoryThread.join();
    m_descriptorThread.join();
}

void resource_watch::sampleMemory()
{
    const std::int64_t memory = statusBytes(m_pid, "VmRSS") + unreadBytes(m_pid, socketsOf(m_pid));
    m_memory = std::max<std::int64_t>(m_memory, memory);
}

void resource_watch::sampleDescriptors()
{
    std::error_code code;
    const std::filesystem::directory_iterator files(fmt::format("/proc/{}/fd", m_pid), code);
    if (!code)
        m_descriptors = std::max<int>(m_descriptors,
                                      static_cast<int>(std::distance(begin(files), end(files))));
}

std::int64_t resource_watch::peakMemory() const
{
    return std::max<std::int64_t>(m_memory, statusBytes(m_pid, "VmHWM"));
}

} // namespace azurehill::process_test
