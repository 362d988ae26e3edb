// Files of a test, removed at its end.
#pragma once

#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace Bluebellquay {

class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "bluebellquay-XXXXXX").string();
        m_path = ::mkdtemp(pattern.data());
    }
    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    std::string path() const { return m_path.string(); }
    // Returns the path of the new file.
    std::string write(const std::string &name, const std::string &content, mode_t mode = 0600) const
    {
        std::string path = (m_path / name).string();
        std::ofstream(path, std::ios::binary) << content;
        ::chmod(path.c_str(), mode);
        return path;
    }

private:
    std::filesystem::path m_path;
};

inline std::string readWholeFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// Replaces each occurrence.
inline std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
    return text;
}

} // namespace Bluebellquay
