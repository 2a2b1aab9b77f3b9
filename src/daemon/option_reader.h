#pragma once

#include "core/enum_names.h"
#include "core/runtime_clock.h"
#include "http/http_message.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace azurehill {

/// \brief A setting that can't be used.
struct setting_fault
{
    /// The flag or the variable that gave the value.
    std::string source;
    /// Empty for a secret.
    std::string value;
    std::string reason;
};

/// \returns \p f as one line.
std::string toText(const setting_fault &f);

/// \brief One flag and its AZUREHILL_… variable.
struct option_spec
{
    const char *flag;
    /// Nothing for a switch, which takes no value.
    const char *argument;
    const char *help;
    std::string fallback;
    bool secret = false;
};

/// \brief Reads flags and variables by a table and gathers every fault. Flags go before variables,
/// these before the defaults.
class option_reader
{
public:
    option_reader(std::string program, std::string usage, std::vector<option_spec> specs);

    void read(int argc, const char **argv);

    std::string text(std::string_view flag);
    std::string requiredText(std::string_view flag);
    /// \returns a name of letters, digits, dot, dash and underscore: it becomes part of row keys.
    std::string name(std::string_view flag);
    std::string sha256(std::string_view flag);
    bool isOn(std::string_view flag);
    std::int64_t number(std::string_view flag, std::int64_t least, std::int64_t most);
    duration time(std::string_view flag, std::int64_t leastMs, std::int64_t mostMs);
    /// \returns an address whose host is an IP address; a name would need a resolver that blocks.
    endpoint address(std::string_view flag, bool anyPort);
    /// \returns a comma-separated list of addresses.
    std::vector<endpoint> addresses(std::string_view flag);
    template <class Enum>
    Enum enumerator(std::string_view flag);

    void addFault(std::string_view flag, std::string reason);

    const std::vector<setting_fault> &faults() const { return m_faults; }
    /// \returns arguments that are no flags.
    const std::vector<std::string> &words() const { return m_words; }
    bool wantsVersion() const { return m_wantsVersion; }
    /// \returns the help text if it was asked for, else nothing.
    const std::string &helpText() const { return m_helpText; }

private:
    struct option
    {
        option_spec spec;
        std::string variable;
        std::string help;
        std::string value;
        std::string source;
    };

    option &find(std::string_view flag);
    void readEnvironment();
    void readFlags(int argc, const char **argv);

    std::string m_program;
    std::string m_usage;
    std::vector<option> m_options;
    std::vector<setting_fault> m_faults;
    std::vector<std::string> m_words;
    bool m_wantsVersion = false;
    std::string m_helpText;
};

template <class Enum>
Enum option_reader::enumerator(std::string_view flag)
{
    const auto found = fromName<Enum>(text(flag));
    if (found)
        return *found;
    std::string reason = "must be one of";
    for (const std::string_view n : enum_names<Enum>::names)
        reason += " " + std::string(n);
    addFault(flag, reason);
    return Enum();
}

} // namespace azurehill
