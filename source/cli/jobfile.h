// Reads input files of the command line: jobs, rules documents and secrets.
#pragma once

#include "bluebellquay/v1/dispatcher.pb.h"
#include "config/finding.h"

#include <boost/leaf.hpp>

#include <istream>
#include <string>

namespace Bluebellquay {

// Returns the content of the file, or of the input if the name is "-" or empty. Fails with
// Findings.
boost::leaf::result<std::string> readInput(const std::string &file, std::istream &input);

// Returns the content of the file without trailing white space. Fails with Findings.
boost::leaf::result<std::string> readSecret(const std::string &file);

// Parses a job from JSON. The file name is only used in findings. Fails with Findings, which list
// all errors that can be detected in one pass.
boost::leaf::result<bluebellquay::v1::Job> parseJob(const std::string &text,
                                                    const std::string &file);

} // namespace Bluebellquay
