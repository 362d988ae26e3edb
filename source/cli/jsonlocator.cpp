#include "cli/jsonlocator.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <iterator>
#include <vector>

namespace Bluebellquay {

namespace {

using Json = nlohmann::json;

// Counts the lines that the parser has consumed. A line end belongs to the line that it ends,
// because the parser reads one character past a number.
class CountingIterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char *;
    using reference = const char &;

    CountingIterator(const char *position, std::uint32_t *line)
        : m_position(position)
        , m_line(line)
    { }

    reference operator*() const { return *m_position; }
    CountingIterator &operator++()
    {
        if (m_pendingLineEnd)
            ++*m_line;
        m_pendingLineEnd = *m_position == '\n';
        ++m_position;
        return *this;
    }
    bool operator==(const CountingIterator &other) const { return m_position == other.m_position; }
    bool operator!=(const CountingIterator &other) const { return m_position != other.m_position; }

private:
    const char *m_position;
    std::uint32_t *m_line;
    bool m_pendingLineEnd = false;
};

std::string normalized(std::string_view name)
{
    std::string result;
    for (const char c : name) {
        if (c != '_')
            result.push_back(static_cast<char>(std::tolower(static_cast<unsigned char>(c))));
    }
    return result;
}

// Handles the events of the parser and records the line of each member and element.
class LineRecorder : public nlohmann::json_sax<Json>
{
public:
    LineRecorder(const std::uint32_t &line,
                 std::map<std::string, std::uint32_t, std::less<>> &lines)
        : m_line(line)
        , m_lines(lines)
    { }

    const std::string &error() const { return m_error; }

    bool null() override { return value(); }
    bool boolean(bool) override { return value(); }
    bool number_integer(number_integer_t) override { return value(); }
    bool number_unsigned(number_unsigned_t) override { return value(); }
    bool number_float(number_float_t, const string_t &) override { return value(); }
    bool string(string_t &) override { return value(); }
    bool binary(binary_t &) override { return value(); }
    bool start_object(std::size_t) override { return open(false); }
    bool start_array(std::size_t) override { return open(true); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }
    bool key(string_t &name) override
    {
        Level &level = m_levels.back();
        level.member = level.path + (level.path.empty() ? "" : ".") + normalized(name);
        m_lines.try_emplace(level.member, m_line);
        return true;
    }
    bool parse_error(std::size_t, const std::string &,
                     const nlohmann::detail::exception &e) override
    {
        m_error = e.what();
        return false;
    }

private:
    struct Level
    {
        std::string path;
        bool array;
        std::size_t next = 0;
        std::string member;
    };

    // Returns the path of the value that begins now, and records its line if it is an array
    // element.
    std::string begin()
    {
        if (m_levels.empty())
            return "";
        Level &level = m_levels.back();
        if (!level.array)
            return level.member;
        std::string path = level.path + "[" + std::to_string(level.next++) + "]";
        m_lines.try_emplace(path, m_line);
        return path;
    }
    bool value()
    {
        begin();
        return true;
    }
    bool open(bool array)
    {
        m_levels.push_back({begin(), array, 0, {}});
        return true;
    }
    bool close()
    {
        m_levels.pop_back();
        return true;
    }

    const std::uint32_t &m_line;
    std::map<std::string, std::uint32_t, std::less<>> &m_lines;
    std::vector<Level> m_levels;
    std::string m_error;
};

} // namespace

std::optional<JsonLocator::SyntaxError> JsonLocator::read(std::string_view text)
{
    m_lines.clear();
    std::uint32_t line = 1;
    LineRecorder recorder(line, m_lines);
    const CountingIterator begin(text.data(), &line);
    const CountingIterator end(text.data() + text.size(), &line);
    if (Json::sax_parse(begin, end, &recorder))
        return std::nullopt;
    return SyntaxError{line, recorder.error()};
}

std::uint32_t JsonLocator::lineOf(std::string_view path) const
{
    std::string place = normalized(path);
    while (!place.empty()) {
        const auto position = m_lines.find(place);
        if (position != m_lines.end())
            return position->second;
        const std::size_t cut = place.find_last_of(".[");
        place.resize(cut == std::string::npos ? 0 : cut);
    }
    return 1;
}

} // namespace Bluebellquay
