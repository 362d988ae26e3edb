// A job as the caller submits it. The process that accepts and remembers it is called its home.
#pragma once

#include "base/coretime.h"
#include "base/strongid.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace Bluebellquay {

// Urgency that the branch rules give a kind of request. Smaller values are started first.
enum class Urgency : std::uint8_t {
    Urgent = 0,
    Normal = 1,
    Background = 2,
};
constexpr std::size_t UrgencyClasses = 3;

// What one task of a job needs from the worker; zero means "not declared".
struct ResourceNeed
{
    std::uint32_t milliProcessors = 0;
    std::uint64_t memoryBytes = 0;
    std::uint32_t accelerators = 0;

    friend bool operator==(const ResourceNeed &, const ResourceNeed &) = default;
};

struct TaskSpec
{
    std::string payload;
    // As declared by the caller, often far off; zero if not declared.
    Duration declaredRunTime{0};

    friend bool operator==(const TaskSpec &, const TaskSpec &) = default;
};

// A single request is a job of one task.
struct Job
{
    std::string branch;
    std::string customer;
    std::string team;
    std::string kind;
    ResourceNeed need;
    // The exceptions of the branch ask for urgent treatment. The home decides whether the rule of
    // the kind allows it, because the digest of a job must not depend on the rules in force.
    bool urgentRequested = false;
    // What the exceptions of the branch refer to: sheet and revision, or member and pan.
    std::string reference;
    // Never empty in a valid job.
    std::vector<TaskSpec> tasks;

    friend bool operator==(const Job &, const Job &) = default;
};

// 128-bit digest of a job's whole content, kept with the id so that another body is recognised.
using JobDigest = std::array<std::uint64_t, 2>;
JobDigest digestOf(const Job &job);

} // namespace Bluebellquay
