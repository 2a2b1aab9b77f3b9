#include "config/config.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace azurehill;

namespace {

std::string readDoc(const std::string &name)
{
    std::ifstream in(fmt::format("{}/{}", AZUREHILL_DOCS, name));
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// \returns the example with the value at \p path replaced, or removed when \p value is empty.
std::string changed(const std::string &path, const std::string &value)
{
    boost::json::value v = boost::json::parse(readDoc("configuration-example.json"));
    boost::json::error_code code;
    const std::size_t slash = path.rfind('/');
    const std::string key = path.substr(slash + 1);
    auto &parent = v.find_pointer(path.substr(0, slash), code)->as_object();
    if (value.empty())
        parent.erase(key);
    else
        parent[key] = boost::json::parse(value);
    return boost::json::serialize(v);
}

bool mentionsKey(const std::string &page, std::string_view key)
{
    return page.find(fmt::format("`{}`", key)) != std::string::npos;
}

bool hasErrorAt(const std::string &text, const std::string &path)
{
    const auto parsed = parseConfiguration(text);
    return !parsed
        && std::any_of(parsed.error().begin(), parsed.error().end(),
                       [&](const config_error &f) { return f.path == path; });
}

} // namespace

TEST_CASE("The example is a configuration, and its page names every key")
{
    const auto parsed = parseConfiguration(readDoc("configuration-example.json"));
    REQUIRE(parsed);
    CHECK(parsed->tenants.at("school").weight == 2);

    SUBCASE("what is written is read back the same")
    {
        const auto again = parseConfiguration(toText(*parsed));
        REQUIRE(again);
        CHECK(toText(*again) == toText(*parsed));
    }
    SUBCASE("each key is on the page")
    {
        const std::string page = readDoc("CONFIGURATION.md");
        const auto whole = boost::json::parse(toText(*parsed));
        for (const auto &[section, members] : whole.as_object()) {
            CHECK(mentionsKey(page, std::string(section)));
            if (!members.is_object())
                continue;
            for (const auto &member : members.as_object()) {
                for (const auto &knob : member.value().as_object()) {
                    const std::string key(knob.key());
                    CHECK_MESSAGE(mentionsKey(page, key), key);
                }
            }
        }
    }
}

TEST_CASE("A configuration with faults is refused, each named with its path")
{
    SUBCASE("values out of their range or of another kind")
    {
        CHECK(hasErrorAt(changed("/tenants/school/weight", "0"), "/tenants/school/weight"));
        CHECK(
            hasErrorAt(changed("/classes/lesson/max_turns", "\"9\""), "/classes/lesson/max_turns"));
        CHECK(hasErrorAt(changed("/classes/lesson/idle_ms", "1e99"), "/classes/lesson/idle_ms"));
        CHECK(hasErrorAt(changed("/presets/peak/retry_percent", "101"),
                         "/presets/peak/retry_percent"));
    }
    SUBCASE("unknown keys")
    {
        CHECK(hasErrorAt(changed("/services/proof/colour", "1"), "/services/proof/colour"));
    }
    SUBCASE("what must be given")
    {
        CHECK(hasErrorAt(changed("/presets/peak", ""), "/presets"));
        CHECK(hasErrorAt(changed("/tenants/school/token_sha256", ""),
                         "/tenants/school/token_sha256"));
        CHECK(hasErrorAt(changed("/services/story-model/models", ""),
                         "/services/story-model/models"));
    }
    SUBCASE("several at once")
    {
        const auto parsed = parseConfiguration(R"({"format": 2, "extra": true})");
        REQUIRE_FALSE(parsed);
        CHECK(parsed.error().size() >= 5);
    }
    SUBCASE("what is no JSON")
    {
        for (const char *text : {"", "{", "[]", "nul", "{\"format\":1}x"})
            CHECK_FALSE(parseConfiguration(text));
    }
}
