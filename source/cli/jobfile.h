// Reads input files of the command line: jobs, rules documents and secrets.
#pragma once

#include "bluebellquay/v1/dispatcher.pb.h"
#include "config/finding.h"

#include <boost/leaf.hpp>

#include <istream>
#include <string>

namespace Bluebellquay {

// Content of the file, or of the input if the name is "-" or empty. The error is Findings.
boost::leaf::result<std::string> readInput(const std::string &file, std::istream &input);

// Content of the file without white space at its end. The error is Findings.
boost::leaf::result<std::string> readSecret(const std::string &file);

// Job from its JSON form. The file name is only for findings. The error is Findings: all of those
// that can be told apart.
boost::leaf::result<bluebellquay::v1::Job> parseJob(const std::string &text,
                                                    const std::string &file);

} // namespace Bluebellquay
