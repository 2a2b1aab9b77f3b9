#include "process/cluster.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <map>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>

using namespace azurehill;
using namespace azurehill::process_test;

namespace {

constexpr duration activationLimit = seconds(5);

struct command_result
{
    int status = -1;
    std::string output;
};

/// \brief Runs one of the project's commands to its end.
command_result runCommand(const std::string &name, std::vector<std::string> arguments)
{
    const scratch_folder folder;
    const std::string out = folder.path() + "/out";
    std::string path = std::string(AZUREHILL_BINARIES "/") + name;
    std::vector<char *> argv = {path.data()};
    for (std::string &a : arguments)
        argv.push_back(a.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, out.c_str(), O_CREAT | O_WRONLY,
                                     S_IRUSR | S_IWUSR);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = -1;
    const int error = posix_spawn(&pid, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    REQUIRE(error == 0);
    int status = 0;
    REQUIRE(waitpid(pid, &status, 0) == pid);
    std::ostringstream text;
    text << std::ifstream(out).rdbuf();
    return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, text.str()};
}

/// \brief Runs azurehill-ctl against the first daemon of \p c.
command_result control(cluster &c, std::vector<std::string> words)
{
    std::vector<std::string> all = {"--daemon", toText(c.address(c.daemons().front())),
                                    "--token",  std::string(operatorToken),
                                    "--author", "ana"};
    all.insert(all.end(), words.begin(), words.end());
    return runCommand("azurehill-ctl", all);
}

bool names(const command_result &r, std::string_view text)
{
    return r.output.find(text) != std::string::npos;
}

/// \brief When a daemon was seen to decide by the old version last, and by the new one first.
struct switch_times
{
    time_point lastOldRequestAt = time_point::min();
    time_point firstNewResponseAt = time_point::max();
};

/// \brief Asks \p daemon once which version decides.
void observe(cluster &c, const std::string &daemon, std::int64_t newVersion, switch_times &times)
{
    const time_point sentAt = runtime_clock::now();
    const reply r = ask(c.address(daemon), operatorRequest("GET", "/operator/presets"), seconds(2));
    if (r.status != 200)
        return;
    const boost::json::value body = boost::json::parse(r.body);
    const boost::json::value *decided = body.as_object().if_contains("in_force_version");
    if (decided && decided->to_number<std::int64_t>() >= newVersion)
        times.firstNewResponseAt = std::min(times.firstNewResponseAt, runtime_clock::now());
    else if (decided)
        times.lastOldRequestAt = sentAt;
}

} // namespace

TEST_CASE("A preset comes into force everywhere within 5 s, and never two at once")
{
    // An operator switches to peak. Were one daemon to admit programs by the new preset while
    // another still goes by the old one, the system would hold more than either allows.
    cluster c;
    c.waitServing(c.daemons());
    const time_point before = runtime_clock::now();
    REQUIRE(control(c, {"presets", "activate", "peak"}).status == 0);

    std::string paused;
    SUBCASE("with all daemons connected") { }
    SUBCASE("with one paused over the change, which then must not go by the old one")
    {
        paused = c.daemons().back();
        c.process(paused).signal(SIGSTOP);
    }

    std::map<std::string, switch_times> seen;
    const auto allSwitched = [&](const std::vector<std::string> &daemons) {
        for (const std::string &d : daemons)
            observe(c, d, 2, seen[d]);
        return std::all_of(daemons.begin(), daemons.end(), [&](const std::string &d) {
            return seen[d].firstNewResponseAt != time_point::max();
        });
    };
    const auto connected = paused.empty() ? c.daemons() : c.others(paused);
    c.waitFor("the preset is in force", [&] { return allSwitched(connected); });
    time_point lastSwitch = before;
    for (const std::string &d : connected)
        lastSwitch = std::max(lastSwitch, seen[d].firstNewResponseAt);
    CHECK(lastSwitch - before <= activationLimit);
    if (!paused.empty()) {
        c.process(paused).signal(SIGCONT);
        c.waitFor("the paused daemon follows", [&] { return allSwitched({paused}); });
    }
    time_point lastOld = time_point::min();
    time_point firstNew = time_point::max();
    for (const auto &[daemon, times] : seen) {
        lastOld = std::max(lastOld, times.lastOldRequestAt);
        firstNew = std::min(firstNew, times.firstNewResponseAt);
    }
    CHECK(lastOld < firstNew);
    MESSAGE("accepted to last daemon's first seen use: "
            << toMilliseconds(lastSwitch - before)
            << " ms; last seen use of the old: " << toMilliseconds(lastOld - before) << " ms");
}

TEST_CASE("Commands end with their documented exit status")
{
    SUBCASE("azurehilld names every fault of its settings")
    {
        const auto r = runCommand("azurehilld", {"--listen", "here:1", "--traffic-threads", "x"});
        CHECK(r.status == 2);
        CHECK(names(r, "--listen \"here:1\" must be"));
        CHECK(names(r, "--traffic-threads \"x\" must be"));
        CHECK(names(r, "--name \"\" must be given"));
    }
    SUBCASE("azurehill-ctl without a daemon")
    {
        CHECK(runCommand("azurehill-ctl", {"members"}).status == 2);
        CHECK(runCommand("azurehill-ctl", {"--daemon", "127.0.0.1:1", "--token", "t", "members"})
                  .status
              == 69);
        CHECK(runCommand("azurehill-ctl", {"--help"}).status == 0);
    }
    SUBCASE("azurehill-ctl with a cell")
    {
        cluster c;
        const auto members = control(c, {"members"});
        CHECK(members.status == 0);
        CHECK(names(members, "daemon-0"));
        CHECK(control(c, {"no", "such"}).status == 64);
        CHECK(control(c, {"config", "apply", "/nonexistent"}).status == 66);
        CHECK(control(c, {"--token", "wrong", "members"}).status == 77);

        const auto faults = control(c, {"presets", "activate", "sleepy"});
        CHECK(faults.status == 65);
        CHECK(names(faults, "/active_preset must be one of"));

        SUBCASE("a racing operator hears who changed what")
        {
            CHECK(control(c, {"presets", "activate", "peak"}).status == 0);
            const auto lost
                = control(c, {"--if-version", "1", "presets", "activate", "maintenance"});
            CHECK(lost.status == 75);
            CHECK(names(lost, "version 2 by ana"));
            CHECK(names(lost, "+ /active_preset \"peak\""));
            CHECK(names(control(c, {"config", "diff", "1", "2"}), "- /active_preset \"ordinary\""));
        }
        SUBCASE("programs are gathered from every daemon")
        {
            const program_id program = c.createProgram("daemon-1");
            CHECK(names(control(c, {"programs"}), program.value));
        }
    }
}
