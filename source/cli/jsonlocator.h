// Finds the line of a value in a JSON document, so that findings can name it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Bluebellquay {

class JsonLocator
{
public:
    struct SyntaxError
    {
        std::uint32_t line;
        std::string message;
    };

    // Parses the document. Returns the first syntax error, or nothing if the document is well
    // formed.
    std::optional<SyntaxError> read(std::string_view text);

    // Returns the line (counted from one) of a path such as "tasks[0].declared_run_ms", or of its
    // nearest parent that is in the document. Names are compared without underscores and case,
    // since the JSON form accepts both "declaredRunMs" and "declared_run_ms".
    std::uint32_t lineOf(std::string_view path) const;

private:
    std::map<std::string, std::uint32_t, std::less<>> m_lines;
};

} // namespace Bluebellquay
