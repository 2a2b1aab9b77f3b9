#include "daemon/option_reader.h"

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>
#include <popt.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <memory>

namespace azurehill {

namespace {

constexpr int versionCode = 10'000;
constexpr int helpCode = 10'001;
constexpr std::size_t longestName = 64;

using popt_context = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>;

std::string variableOf(std::string_view flag)
{
    std::string name = "AZUREHILL_";
    for (const char c : flag)
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return name;
}

std::string helpOf(const option_spec &spec, const std::string &variable)
{
    std::string help = spec.help;
    if (!spec.fallback.empty())
        help += "; default " + spec.fallback;
    return help + "; or " + variable;
}

std::string helpOf(poptContext context)
{
    char *text = nullptr;
    std::size_t size = 0;
    std::FILE *out = open_memstream(&text, &size);
    poptPrintHelp(context, out, 0);
    std::fclose(out);
    std::string result(text, size);
    std::free(text);
    return result;
}

bool isHexDigit(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

bool isNameCharacter(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) || c == '.' || c == '-' || c == '_';
}

bool isIpAddress(const std::string &host)
{
    boost::system::error_code code;
    boost::asio::ip::make_address(host, code);
    return !code;
}

} // namespace

std::string toText(const setting_fault &f)
{
    return fmt::format("{} \"{}\" {}", f.source, f.value, f.reason);
}

option_reader::option_reader(std::string program, std::string usage, std::vector<option_spec> specs)
    : m_program(std::move(program)), m_usage(std::move(usage))
{
    for (option_spec &spec : specs) {
        option o;
        o.variable = variableOf(spec.flag);
        o.help = helpOf(spec, o.variable);
        o.value = spec.fallback;
        o.source = std::string("--") + spec.flag;
        o.spec = std::move(spec);
        m_options.push_back(std::move(o));
    }
}

void option_reader::read(int argc, const char **argv)
{
    readEnvironment();
    readFlags(argc, argv);
}

void option_reader::readEnvironment()
{
    for (option &o : m_options) {
        if (const char *value = std::getenv(o.variable.c_str())) {
            o.value = value;
            o.source = o.variable;
        }
    }
}

void option_reader::readFlags(int argc, const char **argv)
{
    std::vector<poptOption> table;
    for (std::size_t i = 0; i < m_options.size(); ++i) {
        const option &o = m_options[i];
        const unsigned kind = o.spec.argument ? POPT_ARG_STRING : POPT_ARG_NONE;
        table.push_back({o.spec.flag, 0, kind, nullptr, static_cast<int>(i) + 1, o.help.c_str(),
                         o.spec.argument});
    }
    table.push_back(
        {"help", '?', POPT_ARG_NONE, nullptr, helpCode, "print this text and exit", nullptr});
    table.push_back(
        {"version", 0, POPT_ARG_NONE, nullptr, versionCode, "print the version and exit", nullptr});
    table.push_back(POPT_TABLEEND);

    const popt_context context(poptGetContext(m_program.c_str(), argc, argv, table.data(), 0),
                               &poptFreeContext);
    poptSetOtherOptionHelp(context.get(), m_usage.c_str());
    for (int code = 0; (code = poptGetNextOpt(context.get())) != -1;) {
        if (code < -1) {
            m_faults.push_back({poptBadOption(context.get(), 0), "", poptStrerror(code)});
        } else if (code == helpCode) {
            m_helpText = helpOf(context.get());
        } else if (code == versionCode) {
            m_wantsVersion = true;
        } else {
            option &o = m_options[static_cast<std::size_t>(code) - 1];
            // popt hands over a copy for each occurrence, also of a flag that is given twice.
            const std::unique_ptr<char, decltype(&std::free)> given(poptGetOptArg(context.get()),
                                                                    &std::free);
            o.value = given ? given.get() : "1";
            o.source = std::string("--") + o.spec.flag;
        }
    }
    while (const char *word = poptGetArg(context.get()))
        m_words.emplace_back(word);
}

option_reader::option &option_reader::find(std::string_view flag)
{
    return *std::find_if(m_options.begin(), m_options.end(),
                         [&](const option &o) { return flag == o.spec.flag; });
}

void option_reader::addFault(std::string_view flag, std::string reason)
{
    const option &o = find(flag);
    m_faults.push_back({o.source, o.spec.secret ? "" : o.value, std::move(reason)});
}

std::string option_reader::text(std::string_view flag)
{
    return find(flag).value;
}

std::string option_reader::requiredText(std::string_view flag)
{
    std::string value = text(flag);
    if (value.empty())
        addFault(flag, "must be given");
    return value;
}

std::string option_reader::name(std::string_view flag)
{
    std::string value = requiredText(flag);
    if (value.size() > longestName || !std::all_of(value.begin(), value.end(), isNameCharacter))
        addFault(flag, "must be at most 64 letters, digits, dots, dashes and underscores");
    return value;
}

std::string option_reader::sha256(std::string_view flag)
{
    constexpr std::size_t digits = 64;
    std::string value = text(flag);
    if (value.size() != digits || !std::all_of(value.begin(), value.end(), isHexDigit))
        addFault(flag, "must be 64 lower-case hexadecimal digits");
    return value;
}

bool option_reader::isOn(std::string_view flag)
{
    const std::string value = text(flag);
    if (!value.empty() && value != "0" && value != "1")
        addFault(flag, "must be 0 or 1");
    return value == "1";
}

std::int64_t option_reader::number(std::string_view flag, std::int64_t least, std::int64_t most)
{
    const std::string value = text(flag);
    std::int64_t n = 0;
    const char *const end = value.data() + value.size();
    const auto [stop, error] = std::from_chars(value.data(), end, n);
    if (error == std::errc() && stop == end && n >= least && n <= most)
        return n;
    addFault(flag, fmt::format("must be a whole number from {} to {}", least, most));
    return least;
}

duration option_reader::time(std::string_view flag, std::int64_t leastMs, std::int64_t mostMs)
{
    return milliseconds(number(flag, leastMs, mostMs));
}

endpoint option_reader::address(std::string_view flag, bool anyPort)
{
    const auto parsed = parseEndpoint(text(flag));
    if (parsed && isIpAddress(parsed->host) && (anyPort || parsed->port != 0))
        return *parsed;
    addFault(flag, anyPort ? "must be IP:PORT" : "must be IP:PORT with a port from 1 to 65535");
    return {};
}

std::vector<endpoint> option_reader::addresses(std::string_view flag)
{
    std::vector<endpoint> result;
    std::string_view rest = find(flag).value;
    while (!rest.empty()) {
        const std::size_t comma = std::min(rest.find(','), rest.size());
        const auto parsed = parseEndpoint(rest.substr(0, comma));
        if (!parsed || parsed->port == 0 || !isIpAddress(parsed->host)) {
            addFault(flag, "must be a list of IP:PORT with commas between");
            return {};
        }
        result.push_back(*parsed);
        rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
    return result;
}

} // namespace azurehill
