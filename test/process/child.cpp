#include "process/child.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace azurehill::process_test {

namespace {

constexpr std::chrono::milliseconds pollPeriod(15);
constexpr mode_t logMode = 0600;

std::string contentOf(const std::string &path)
{
    std::ifstream in(path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

pid_t start(const std::string &program, std::vector<std::string> arguments, const std::string &log)
{
    std::vector<char *> argv;
    std::string path = program;
    argv.push_back(path.data());
    for (std::string &a : arguments)
        argv.push_back(a.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                     O_CREAT | O_WRONLY | O_APPEND, logMode);
    // azurehill-entry writes its log to standard output.
    posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
    pid_t pid = -1;
    const int error = posix_spawn(&pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("can't start " + program);
    return pid;
}

} // namespace

bool holdsWithin(std::chrono::milliseconds limit, const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(pollPeriod);
    }
    return true;
}

bool settlesWithin(std::chrono::milliseconds limit, const std::function<std::int64_t()> &count)
{
    constexpr int quietLooks = 40;
    std::int64_t before = -1;
    int quiet = 0;
    return holdsWithin(limit, [&] {
        const std::int64_t now = count();
        quiet = now == before ? quiet + 1 : 0;
        before = now;
        return quiet >= quietLooks;
    });
}

child::child(std::string name, const std::string &program, std::vector<std::string> arguments,
             const std::string &folder)
    : m_name(std::move(name)), m_folder(folder)
{
    arguments.emplace_back("--port-file");
    arguments.push_back(m_folder + "/" + m_name + ".port");
    m_pid = start(program, std::move(arguments), m_folder + "/" + m_name + ".log");
}

child::child(child &&other) noexcept
    : m_name(std::move(other.m_name)), m_folder(std::move(other.m_folder)),
      m_pid(std::exchange(other.m_pid, -1)), m_status(other.m_status)
{ }

child::~child()
{
    if (m_pid < 0 || exitStatus())
        return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

std::optional<endpoint> child::address() const
{
    const std::string text = contentOf(m_folder + "/" + m_name + ".port");
    if (text.empty())
        return std::nullopt;
    return endpoint{"127.0.0.1", static_cast<std::uint16_t>(std::stoi(text))};
}

void child::signal(int number) const
{
    // A process that was waited for no longer owns its id.
    if (m_pid > 0 && !m_status)
        kill(m_pid, number);
}

std::optional<int> child::exitStatus()
{
    int status = 0;
    if (!m_status && waitpid(m_pid, &status, WNOHANG) == m_pid)
        m_status = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return m_status;
}

std::string child::log() const
{
    return contentOf(m_folder + "/" + m_name + ".log");
}

scratch_folder::scratch_folder()
{
    std::string path = (std::filesystem::temp_directory_path() / "azurehill-XXXXXX").string();
    if (!mkdtemp(path.data()))
        throw std::runtime_error("can't make a folder");
    m_path = path;
}

scratch_folder::~scratch_folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

} // namespace azurehill::process_test
