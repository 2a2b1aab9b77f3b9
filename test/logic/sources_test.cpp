#include <doctest/doctest.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>

namespace azurehill {

namespace {

/// Names of the users' deployments of today.
constexpr std::array<std::string_view, 12> siteNames
    = {"riohacha", "valledupar", "maicao",     "plateau",    "almadies",  "dakar",
       "caribe",   "relatos",    "biblioteca", "assistants", "race-desk", "lesson-guide"};

std::string textOf(const std::filesystem::path &file)
{
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("no deployment is named in the code, which must serve others as well")
{
    const std::filesystem::path root = AZUREHILL_SOURCE;
    int files = 0;
    for (const char *folder : {"src", "platform", "deploy"}) {
        for (const auto &item : std::filesystem::recursive_directory_iterator(root / folder)) {
            if (!item.is_regular_file())
                continue;
            ++files;
            const std::string text = textOf(item.path());
            INFO(item.path().string());
            for (const std::string_view name : siteNames) {
                INFO(name);
                CHECK(text.find(name) == std::string::npos);
            }
        }
    }
    CHECK(files > 100);
}

TEST_CASE("no property test can pass whatever its property does")
{
    // A property tells its result by its return value only: without a look at it, the test passes.
    const std::filesystem::path root = AZUREHILL_SOURCE;
    constexpr std::string_view looked = "CHECK(";
    const std::string call = std::string("rc::") + "check(";
    int properties = 0;
    for (const auto &item : std::filesystem::recursive_directory_iterator(root / "test")) {
        if (item.path().extension() != ".cpp")
            continue;
        const std::string text = textOf(item.path());
        INFO(item.path().string());
        for (std::size_t at = text.find(call); at != std::string::npos;
             at = text.find(call, at + 1)) {
            ++properties;
            REQUIRE(at >= looked.size());
            CHECK(text.substr(at - looked.size(), looked.size()) == looked);
        }
    }
    CHECK(properties > 10);
}

} // namespace azurehill
