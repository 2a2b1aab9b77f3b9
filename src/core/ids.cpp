#include "core/ids.h"

#include <openssl/rand.h>
#include <xxhash.h>

#include <stdexcept>
#include <vector>

namespace azurehill {

namespace {

constexpr int rootRandomBytes = 12;
constexpr int childRandomBytes = 4;
constexpr std::size_t maxProgramIdLength = 128;

bool isHexDigit(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

} // namespace

std::string randomHex(int bytes)
{
    std::vector<unsigned char> raw(static_cast<std::size_t>(bytes));
    if (RAND_bytes(raw.data(), bytes) != 1)
        throw std::runtime_error("the random number generator of OpenSSL has no entropy");
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : raw) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

program_id makeProgramId(const program_id &parent)
{
    if (parent.empty())
        return {"p" + randomHex(rootRandomBytes)};
    return {parent.value + "." + randomHex(childRandomBytes)};
}

program_id rootOf(const program_id &id)
{
    return {id.value.substr(0, id.value.find('.'))};
}

bool isProgramId(std::string_view text)
{
    if (text.size() < 2 || text.size() > maxProgramIdLength || text.front() != 'p')
        return false;
    char previous = 'p';
    for (const char c : text.substr(1)) {
        const bool separator = c == '.' && previous != '.' && previous != 'p';
        if (!isHexDigit(c) && !separator)
            return false;
        previous = c;
    }
    return previous != '.';
}

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace azurehill
