#pragma once

#include "process/caller.h"
#include "process/child.h"

#include <deque>
#include <string>
#include <vector>

namespace azurehill::process_test {

struct cluster_options
{
    int daemons = 3;
    int engines = 2;
    int leaseMs = 1500;
    int tokenUs = 2000;
    int toolMs = 5;
    int hostLagMs = 0;
};

/// \brief The stand-ins and daemons of one test as processes of their own. All end with it.
class cluster
{
public:
    explicit cluster(cluster_options options = {});

    /// \brief Starts one more daemon. \returns its name.
    std::string startDaemon();
    /// \returns where the process \p name listens; fails unless it does within a bound.
    endpoint address(const std::string &name);
    child &process(const std::string &name);
    const std::vector<std::string> &daemons() const { return m_daemons; }

    /// \brief Waits until \p condition holds; fails with the logs when \p limit passes.
    void waitFor(const std::string &what, const std::function<bool()> &condition,
                 std::chrono::milliseconds limit = std::chrono::seconds(20));
    /// \brief Waits until \p names are the members and all of them serve.
    void waitServing(const std::vector<std::string> &names);
    /// \brief Sets the fault of a stand-in, as "POST /fault" takes it.
    void setFault(const std::string &standIn, const std::string &fault);

    /// \returns the daemon that owns \p program, as those that serve say.
    std::string ownerOf(const program_id &program);
    /// \returns the daemons but \p name.
    std::vector<std::string> others(const std::string &name) const;
    /// \brief Makes a program at \p daemon, which then owns it.
    program_id createProgram(const std::string &daemon);
    /// \brief Sends \p call to \p daemons in turn until one gives an answer that is no refusal.
    reply askUntilAnswered(const std::vector<std::string> &daemons, const call_line &call);

    /// \returns how often a tool or service ran the request with \p key, by its own record.
    int runsOf(const std::string &key);
    /// \returns what the engines sent for a turn, by their own records.
    std::vector<std::string> completionsOf(const program_id &program, std::int64_t turn);
    /// \returns whether an engine sent \p content as the answer of a turn.
    bool wasSent(const program_id &program, std::int64_t turn, const std::string &content);
    /// \returns how many calls an upstream has begun.
    std::int64_t startedAt(const std::string &standIn);
    /// \returns the version that the table gave to the configuration.
    std::int64_t configVersion() const { return m_configVersion; }
    /// \returns the state of \p program as \p daemon tells it.
    boost::json::value inspect(const std::string &daemon, const program_id &program);
    std::string logs();

private:
    void start(const std::string &name, const std::string &program,
               std::vector<std::string> arguments);
    void startStandIn(const std::string &name, const std::string &role, const std::string &service,
                      std::vector<std::string> more);
    void applyConfiguration();
    void readRecords(const std::string &standIn,
                     const std::function<void(const boost::json::object &)> &take);

    cluster_options m_options;
    scratch_folder m_folder;
    std::deque<child> m_children;
    std::vector<std::string> m_daemons;
    std::int64_t m_configVersion = 0;
};

/// \returns the configuration that every test begins with.
std::string testConfiguration();

} // namespace azurehill::process_test
