#pragma once

#include <atomic>
#include <cstdint>
#include <sys/types.h>
#include <thread>

namespace azurehill::process_test {

/// \brief Samples what a process holds, on threads of its own, until the object is destroyed.
class resource_watch
{
public:
    explicit resource_watch(pid_t pid);
    ~resource_watch();
    resource_watch(const resource_watch &) = delete;
    resource_watch &operator=(const resource_watch &) = delete;

    /// \returns the most memory so far, in bytes: what was resident, and the bytes that had been
    /// received and not read.
    std::int64_t peakMemory() const;
    /// \returns the most open descriptors so far.
    int peakDescriptors() const { return m_descriptors; }

private:
    void sampleMemory();
    void sampleDescriptors();

    pid_t m_pid;
    std::atomic<bool> m_stops{false};
    std::atomic<std::int64_t> m_memory{0};
    std::atomic<int> m_descriptors{0};
    std::thread m_memoryThread;
    /// Descriptors come and go faster than the list of all sockets is read.
    std::thread m_descriptorThread;
};

} // namespace azurehill::process_test
