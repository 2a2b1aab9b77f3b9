#pragma once

#include <atomic>
#include <cstdint>
#include <sys/types.h>
#include <thread>

namespace azurehill::process_test {

/// \brief Samples what a process holds, on a thread of its own, until the object is destroyed.
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
    void sample();

    pid_t m_pid;
    std::atomic<bool> m_stops{false};
    std::atomic<std::int64_t> m_memory{0};
    std::atomic<int> m_descriptors{0};
    std::thread m_thread;
};

} // namespace azurehill::process_test
