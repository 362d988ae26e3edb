#include "standins/workload.h"

#include "bluebellquay/v1/hinokuni.pb.h"
#include "bluebellquay/v1/maras.pb.h"
#include "standins/taskprogram.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Bluebellquay {

namespace {

constexpr std::uint64_t ArrivalSeedOffset = 0x9e3779b97f4a7c15ULL;

using Milliseconds = std::chrono::duration<double, std::milli>;

std::string echoOf(std::uint64_t number, int task)
{
    return std::to_string(number) + "." + std::to_string(task);
}

// Always set, so that kinds whose rule requires a reference accept the job.
void addReference(bluebellquay::v1::Job &job, std::uint64_t number)
{
    const std::string reference = std::to_string(number);
    if (job.branch() == "hinokuni") {
        hinokuni::v1::Exceptions exceptions;
        exceptions.set_sheet("sheet-" + reference);
        exceptions.set_revision("1");
        job.mutable_exceptions()->PackFrom(exceptions);
    } else if (job.branch() == "maras") {
        maras::v1::Exceptions exceptions;
        exceptions.set_member("member-1");
        exceptions.set_pan("pan-" + reference);
        job.mutable_exceptions()->PackFrom(exceptions);
    }
}

} // namespace

std::string expectedOutput(const std::string &id, std::uint64_t number, int task)
{
    TaskProgram program;
    program.echo = echoOf(number, task);
    return program.output(id + "/" + std::to_string(task));
}

Workload::Workload(WorkloadOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_arrivalRandom(m_options.seed ^ ArrivalSeedOffset)
{
    for (const WorkloadKind &kind : m_options.kinds)
        m_totalWeight += kind.weight;
}

PlannedSubmission Workload::next()
{
    PlannedSubmission planned;
    planned.number = ++m_lastNumber;
    const WorkloadKind &kind = drawKind();
    planned.job.set_branch(kind.branch);
    planned.job.set_kind(kind.kind);
    planned.job.set_customer(m_options.customer);
    planned.job.set_team(m_options.teams[m_random() % m_options.teams.size()]);
    addReference(planned.job, planned.number);
    const std::uint32_t tasks = drawTaskCount();
    for (std::uint32_t i = 0; i < tasks; ++i) {
        const Milliseconds usual(logUniform(m_options.minRunMs, m_options.maxRunMs));
        const bool isLong = uniform() < m_options.longShare;
        TaskProgram program;
        program.runTime =
            std::chrono::duration_cast<Duration>(usual * (isLong ? m_options.longFactor : 1));
        program.echo = echoOf(planned.number, static_cast<int>(i));
        planned.longestRun = std::max(planned.longestRun, program.runTime);
        planned.work += program.runTime;
        bluebellquay::v1::Task &task = *planned.job.add_tasks();
        task.set_payload(program.toPayload());
        if (m_options.declaredError >= 1) {
            const double error = logUniform(1 / m_options.declaredError, m_options.declaredError);
            task.set_declared_run_ms(
                static_cast<std::uint32_t>(std::max(1.0, usual.count() * error)));
        }
    }
    return planned;
}

Duration Workload::nextGap(double rate)
{
    const double chance = std::generate_canonical<double, 53>(m_arrivalRandom);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(-std::log1p(-chance) / rate));
}

double Workload::logUniform(double min, double max)
{
    if (min <= 0 || max <= min)
        return min;
    return min * std::pow(max / min, uniform());
}

const WorkloadKind &Workload::drawKind()
{
    double position = uniform() * m_totalWeight;
    for (const WorkloadKind &kind : m_options.kinds) {
        position -= kind.weight;
        if (position < 0)
            return kind;
    }
    return m_options.kinds.back();
}

std::uint32_t Workload::drawTaskCount()
{
    if (uniform() >= m_options.jobShare)
        return 1;
    return static_cast<std::uint32_t>(
        std::lround(logUniform(m_options.minJobTasks, m_options.maxJobTasks)));
}

} // namespace Bluebellquay
