#include "platform/json_elements.h"

#include <algorithm>

namespace azurehill {

namespace {

/// \brief Reads the tokens of a JSON text that delimit its values. Each function returns false, or
/// nothing, if the text does not go on as expected.
class json_scanner
{
public:
    explicit json_scanner(std::string_view text) : m_text(text) { }

    bool isAtEnd()
    {
        skipSpace();
        return m_at == m_text.size();
    }
    bool take(char expected)
    {
        skipSpace();
        if (m_at == m_text.size() || m_text[m_at] != expected)
            return false;
        ++m_at;
        return true;
    }
    /// \returns the characters between the quotes of a string, escaped as they are.
    std::optional<std::string_view> takeString()
    {
        if (!take('"'))
            return std::nullopt;
        const std::size_t start = m_at;
        while (m_at < m_text.size() && m_text[m_at] != '"')
            m_at += m_text[m_at] == '\\' ? 2 : 1;
        if (m_at >= m_text.size())
            return std::nullopt;
        return m_text.substr(start, m_at++ - start);
    }
    /// \returns the text of the next value, up to the comma or bracket that ends it.
    std::optional<std::string_view> takeValue()
    {
        skipSpace();
        const std::size_t start = m_at;
        std::size_t depth = 0;
        while (m_at < m_text.size()) {
            const char c = m_text[m_at];
            const bool isOpening = c == '[' || c == '{';
            const bool isClosing = c == ']' || c == '}';
            if (depth == 0 && (isClosing || c == ','))
                return m_text.substr(start, m_at - start);
            if (c == '"') {
                if (!takeString())
                    return std::nullopt;
                continue;
            }
            depth += isOpening ? 1 : 0;
            depth -= isClosing ? 1 : 0;
            ++m_at;
        }
        return std::nullopt;
    }

private:
    void skipSpace() { m_at = std::min(m_text.find_first_not_of(" \t\r\n", m_at), m_text.size()); }

    std::string_view m_text;
    std::size_t m_at = 0;
};

std::optional<std::vector<std::string_view>> takeElements(json_scanner &scanner)
{
    std::vector<std::string_view> elements;
    if (!scanner.take('['))
        return std::nullopt;
    if (scanner.take(']'))
        return elements;
    do {
        const auto element = scanner.takeValue();
        if (!element || element->empty())
            return std::nullopt;
        elements.push_back(*element);
    } while (scanner.take(','));
    return scanner.take(']') ? std::optional(std::move(elements)) : std::nullopt;
}

} // namespace

std::optional<std::vector<std::string_view>> arrayElements(std::string_view text,
                                                           std::string_view name)
{
    json_scanner scanner(text);
    std::optional<std::vector<std::string_view>> elements;
    if (!scanner.take('{'))
        return std::nullopt;
    do {
        const auto key = scanner.takeString();
        if (!key || !scanner.take(':'))
            return std::nullopt;
        if (*key == name)
            elements = takeElements(scanner);
        else if (!scanner.takeValue())
            return std::nullopt;
        if (*key == name && !elements)
            return std::nullopt;
    } while (scanner.take(','));
    return scanner.take('}') && scanner.isAtEnd() ? elements : std::nullopt;
}

} // namespace azurehill
