#pragma once

#include <cstdint>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <signal.h>
#include <spawn.h>
#include <sstream>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace azurehill::bench {

/// \brief A process that a bench started; it ends with this object.
class child_process
{
public:
    /// \brief Starts \p program with \p arguments and a port file, and waits for its port.
    child_process(const std::string &program, std::vector<std::string> arguments,
                  const std::string &portFile)
    {
        arguments.insert(arguments.begin(), program);
        arguments.insert(arguments.end(), {"--port-file", portFile});
        std::vector<char *> argv;
        argv.reserve(arguments.size() + 1);
        for (std::string &a : arguments)
            argv.push_back(a.data());
        argv.push_back(nullptr);
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, STDERR_FILENO, (portFile + ".log").c_str(),
                                         O_WRONLY | O_CREAT | O_TRUNC, 0600);
        if (posix_spawn(&m_pid, program.c_str(), &files, nullptr, argv.data(), environ) != 0)
            m_pid = -1;
        posix_spawn_file_actions_destroy(&files);
        while (m_pid > 0 && m_port == 0 && waitpid(m_pid, nullptr, WNOHANG) == 0) {
            std::ifstream(portFile) >> m_port;
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }
    ~child_process()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /// \returns its port, or 0 when it did not start.
    std::uint16_t port() const { return m_port; }

    /// \returns seconds of processor time that it has used.
    double cpuSeconds() const
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/stat");
        std::stringstream all;
        all << file.rdbuf();
        // The fields after the name in parentheses; user and system time are the 12th and 13th.
        std::stringstream rest(all.str().substr(all.str().rfind(')') + 2));
        std::string skipped;
        for (int i = 0; i < 11; ++i)
            rest >> skipped;
        double user = 0;
        double system = 0;
        rest >> user >> system;
        return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    }

    /// \returns its resident memory in bytes.
    double residentBytes() const
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
        double total = 0;
        double resident = 0;
        file >> total >> resident;
        return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
    }

private:
    pid_t m_pid = -1;
    std::uint16_t m_port = 0;
};

} // namespace azurehill::bench
