// Reads a secret from a file of its own, so that settings can be shown and logged as a whole.
#pragma once

#include <boost/leaf.hpp>

#include <cstddef>
#include <string>

namespace Bluebellquay {

// Secrets travel in an HTTP header, whose lines are limited to this order of size.
constexpr std::size_t MaxSecretBytes = 4096;

// What is wrong with a secret file. Neither text holds the path or the content: whoever puts the
// secret itself where the path belongs must not find it in a log.
struct SecretFileError
{
    std::string message;
    std::string remedy;
};

// Content without trailing white space. Errors: SecretFileError.
boost::leaf::result<std::string> readSecretFile(const std::string &path);

} // namespace Bluebellquay
