#include "config/secretfile.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <optional>

namespace Bluebellquay {

namespace {

class FileDescriptor
{
public:
    // Non-blocking, so that a pipe without a writer is reported instead of waited for.
    explicit FileDescriptor(const std::string &path)
        : m_descriptor(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK))
    { }
    ~FileDescriptor()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
    }
    FileDescriptor(const FileDescriptor &) = delete;
    FileDescriptor &operator=(const FileDescriptor &) = delete;

    int number() const { return m_descriptor; }

private:
    int m_descriptor;
};

boost::leaf::error_id failure(std::string message, std::string remedy)
{
    return boost::leaf::new_error(SecretFileError{std::move(message), std::move(remedy)});
}

bool isPrintable(char c)
{
    return c > ' ' && c < 0x7f;
}

// Reads one byte more than is allowed, so that a longer file is noticed.
std::optional<std::string> readContent(int descriptor)
{
    std::string content(MaxSecretBytes + 1, '\0');
    std::size_t size = 0;
    while (size < content.size()) {
        const ssize_t count = ::read(descriptor, content.data() + size, content.size() - size);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return std::nullopt;
        if (count == 0)
            break;
        size += static_cast<std::size_t>(count);
    }
    content.resize(size);
    return content;
}

} // namespace

boost::leaf::result<std::string> readSecretFile(const std::string &path)
{
    const FileDescriptor file(path);
    if (file.number() < 0)
        return failure(std::string("the secret file can't be opened: ") + std::strerror(errno),
                       "create the file, or correct the path");
    struct stat status
    { };
    if (::fstat(file.number(), &status) != 0 || !S_ISREG(status.st_mode))
        return failure("the secret file is not a regular file", "name a regular file");
    if ((status.st_mode & S_IRWXO) != 0)
        return failure("the secret file is accessible to all users", "run chmod o= on the file");
    std::optional<std::string> content = readContent(file.number());
    if (!content)
        return failure("the secret file can't be read", "check the file and its storage");
    if (content->size() > MaxSecretBytes)
        return failure("the secret file is longer than " + std::to_string(MaxSecretBytes)
                           + " bytes",
                       "put only the secret into the file");
    const std::size_t last = content->find_last_not_of(" \t\r\n");
    if (last == std::string::npos)
        return failure("the secret file is empty", "write the secret into the file");
    content->resize(last + 1);
    if (!std::all_of(content->begin(), content->end(), isPrintable))
        return failure("the secret has white space, control or non-ASCII characters",
                       "use one line of printable ASCII characters");
    return std::move(*content);
}

} // namespace Bluebellquay
