// Checks a caller's job against the rules in force and turns it into the form that travels to its
// home.
#pragma once

#include "base/job.h"
#include "config/ruleset.h"

#include <bluebellquay/v1/dispatcher.pb.h>
#include <boost/leaf.hpp>

#include <string>

namespace Bluebellquay {

// Why a job is rejected; names the field and the remedy.
struct JobError
{
    std::string message;
};

struct ValidJob
{
    Job job;
    Urgency urgency = Urgency::Normal;
};

// Names are at most this long, in bytes.
constexpr std::size_t MaxNameBytes = 128;

// Payloads of a job together, in bytes. A Submit must fit into one frame of the peer protocol.
constexpr std::size_t MaxJobBytes = 4UL << 20;

// The error carries a JobError.
boost::leaf::result<ValidJob> validateJob(const bluebellquay::v1::Job &job, const RuleSet &rules);

} // namespace Bluebellquay
