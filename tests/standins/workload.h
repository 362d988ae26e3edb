// Submissions of the load generator, drawn from a seed.
#pragma once

#include "base/coretime.h"
#include "bluebellquay/v1/dispatcher.pb.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace Bluebellquay {

struct WorkloadKind
{
    std::string branch;
    std::string kind;
    // Share of the submissions, relative to the sum of all weights.
    double weight = 1;
};

struct WorkloadOptions
{
    std::uint64_t seed = 1;
    std::vector<WorkloadKind> kinds;
    std::string customer = "load";
    std::vector<std::string> teams{"load"};
    // Share of the submissions that are jobs; the others are single requests.
    double jobShare = 0;
    std::uint32_t minJobTasks = 10;
    std::uint32_t maxJobTasks = 700;
    // Run times are log-uniform between these.
    double minRunMs = 50;
    double maxRunMs = 1000;
    // This share of the tasks runs longer by the factor, which the caller does not know.
    double longShare = 0.01;
    double longFactor = 20;
    // Declared run times are wrong by up to this factor, either way; 0 declares none.
    double declaredError = 4;
};

struct PlannedSubmission
{
    std::uint64_t number = 0;
    bluebellquay::v1::Job job;
    // Longest run time of a task: the answer can't come sooner.
    Duration longestRun{0};
    // Sum of the run times.
    Duration work{0};
};

// Output that the upstream stand-in gives for a task of a submission.
std::string expectedOutput(const std::string &id, std::uint64_t number, int task);

// The same options give the same submissions.
class Workload
{
public:
    // Needs at least one kind and one team.
    explicit Workload(WorkloadOptions options);

    PlannedSubmission next();
    // Time to the next arrival of a Poisson process; the rate is in submissions per second.
    Duration nextGap(double rate);

private:
    double uniform() { return std::generate_canonical<double, 53>(m_random); }
    double logUniform(double min, double max);
    const WorkloadKind &drawKind();
    std::uint32_t drawTaskCount();

    WorkloadOptions m_options;
    double m_totalWeight = 0;
    std::mt19937_64 m_random;
    // Separate, so that the submissions don't depend on the rate.
    std::mt19937_64 m_arrivalRandom;
    std::uint64_t m_lastNumber = 0;
};

} // namespace Bluebellquay
