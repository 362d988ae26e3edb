// Counts the starts of tasks, in memory and optionally in a file that survives a kill.
#pragma once

#include "standins/v1/control.pb.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace Bluebellquay {

class StartLog
{
public:
    // Without a path there is no file. Each start is appended to it before the task runs, as one
    // line "<task> <attempt>". Errors: CommandLineError if the file can't be opened.
    static boost::leaf::result<StartLog> open(const std::string &path);

    StartLog(StartLog &&other) noexcept;
    StartLog &operator=(StartLog &&) = delete;
    ~StartLog();

    // Returns false if the line could not be written whole.
    bool record(const std::string &task, std::uint32_t attempt);

    std::uint64_t starts() const { return m_starts; }
    // Attempts that were started more than once.
    std::uint64_t repeatedAttempts() const { return m_repeatedAttempts; }
    standins::v1::GetStartsResponse select(const standins::v1::GetStartsRequest &request) const;

private:
    explicit StartLog(int descriptor)
        : m_descriptor(descriptor)
    { }

    // -1 without a file.
    int m_descriptor;
    // Starts by task id and attempt.
    std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> m_counts;
    std::uint64_t m_starts = 0;
    std::uint64_t m_repeatedAttempts = 0;
};

} // namespace Bluebellquay
