#pragma once

#include "http/http_message.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace azurehill::process_test {

/// \brief Looks at \p condition again and again until it holds.
/// \returns whether it held within \p limit.
bool holdsWithin(std::chrono::milliseconds limit, const std::function<bool()> &condition);

/// \brief Looks at \p count until it has stayed the same for several looks.
/// \returns whether it did within \p limit.
bool settlesWithin(std::chrono::milliseconds limit, const std::function<std::int64_t()> &count);

/// \brief One process of a test, killed when it goes out of scope.
class child
{
public:
    /// \brief Starts \p program with \p arguments; its log and port file lie in \p folder.
    child(std::string name, const std::string &program, std::vector<std::string> arguments,
          const std::string &folder);
    ~child();
    child(child &&other) noexcept;
    child &operator=(child &&other) = delete;

    const std::string &name() const { return m_name; }
    /// \returns where it listens, once its port file is there.
    std::optional<endpoint> address() const;
    void signal(int number) const;
    pid_t pid() const { return m_pid; }
    /// \returns the exit status once it has ended; a death by signal N is 128 + N.
    std::optional<int> exitStatus();
    std::string log() const;

private:
    std::string m_name;
    std::string m_folder;
    pid_t m_pid = -1;
    std::optional<int> m_status;
};

/// \brief A folder that is removed with what lies in it.
class scratch_folder
{
public:
    scratch_folder();
    ~scratch_folder();
    scratch_folder(const scratch_folder &) = delete;
    scratch_folder &operator=(const scratch_folder &) = delete;

    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

} // namespace azurehill::process_test
