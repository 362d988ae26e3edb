#include "core/jobvalidator.h"

#include "base/messages.h"

#include <bluebellquay/v1/hinokuni.pb.h>
#include <bluebellquay/v1/maras.pb.h>

#include <optional>

namespace Bluebellquay {

namespace {

// Exceptions of a job in the form common to all branches.
// The analyzer does not see that a leaf::result without a value is never read.
// NOLINTNEXTLINE(clang-analyzer-core.uninitialized.Assign)
struct BranchExceptions
{
    bool raise = false;
    // Empty unless both parts are given.
    std::string reference;
};

boost::leaf::error_id reject(std::string message)
{
    return boost::leaf::new_error(JobError{std::move(message)});
}

// The length of the first part keeps two different pairs from having one text.
std::string referenceOf(const std::string &first, const std::string &second)
{
    if (first.empty() || second.empty())
        return {};
    return std::to_string(first.size()) + ":" + first + "/" + second;
}

std::optional<BranchExceptions> unpackHinokuni(const google::protobuf::Any &any)
{
    hinokuni::v1::Exceptions exceptions;
    if (!any.UnpackTo(&exceptions))
        return std::nullopt;
    return BranchExceptions{exceptions.panel_open(),
                            referenceOf(exceptions.sheet(), exceptions.revision())};
}

std::optional<BranchExceptions> unpackMaras(const google::protobuf::Any &any)
{
    maras::v1::Exceptions exceptions;
    if (!any.UnpackTo(&exceptions))
        return std::nullopt;
    return BranchExceptions{exceptions.families_waiting(),
                            referenceOf(exceptions.member(), exceptions.pan())};
}

boost::leaf::result<BranchExceptions> readExceptions(const bluebellquay::v1::Job &job)
{
    if (!job.has_exceptions())
        return BranchExceptions{};
    std::optional<BranchExceptions> exceptions;
    if (job.branch() == "hinokuni")
        exceptions = unpackHinokuni(job.exceptions());
    else if (job.branch() == "maras")
        exceptions = unpackMaras(job.exceptions());
    else
        return reject("job.exceptions: this branch has none; leave the field out");
    if (!exceptions)
        return reject("job.exceptions: not a readable " + job.branch() + ".v1.Exceptions");
    return *exceptions;
}

boost::leaf::result<void> checkNames(const bluebellquay::v1::Job &job)
{
    for (const std::string *name : {&job.branch(), &job.customer(), &job.team(), &job.kind()}) {
        if (name->size() > MaxNameBytes)
            return reject("job: branch, customer, team and kind have at most "
                          + std::to_string(MaxNameBytes) + " bytes each");
    }
    return {};
}

boost::leaf::result<void> checkTasks(const bluebellquay::v1::Job &job)
{
    if (job.tasks().empty())
        return reject("job.tasks: empty; a job has at least one task");
    if (static_cast<std::size_t>(job.tasks_size()) > MaxTasksPerJob)
        return reject("job.tasks: " + std::to_string(job.tasks_size()) + " tasks; at most "
                      + std::to_string(MaxTasksPerJob) + " are allowed, split the job");
    std::size_t bytes = 0;
    for (const bluebellquay::v1::Task &task : job.tasks())
        bytes += task.payload().size();
    if (bytes > MaxJobBytes)
        return reject("job.tasks: payloads of " + std::to_string(bytes) + " bytes; at most "
                      + std::to_string(MaxJobBytes) + " are allowed, split the job");
    return {};
}

Job convert(const bluebellquay::v1::Job &job)
{
    Job converted;
    converted.branch = job.branch();
    converted.customer = job.customer();
    converted.team = job.team();
    converted.kind = job.kind();
    converted.need = {job.need().milli_processors(), job.need().memory_bytes(),
                      job.need().accelerators()};
    converted.tasks.reserve(static_cast<std::size_t>(job.tasks_size()));
    for (const bluebellquay::v1::Task &task : job.tasks()) {
        converted.tasks.push_back(
            {task.payload(), std::chrono::milliseconds(task.declared_run_ms())});
    }
    return converted;
}

} // namespace

boost::leaf::result<ValidJob> validateJob(const bluebellquay::v1::Job &job, const RuleSet &rules)
{
    BOOST_LEAF_CHECK(checkNames(job));
    const BranchRule *branch = rules.findBranch(job.branch());
    if (branch == nullptr)
        return reject("job.branch: no rules for branch \"" + job.branch() + "\"");
    const auto kind = branch->kinds.find(job.kind());
    if (kind == branch->kinds.end())
        return reject("job.kind: branch \"" + job.branch() + "\" has no kind \"" + job.kind()
                      + "\"");
    if (!branch->teamQuotas.empty() && job.team().empty())
        return reject("job.team: required, since the branch shares its slots by team");
    BOOST_LEAF_CHECK(checkTasks(job));
    BOOST_LEAF_AUTO(exceptions, readExceptions(job));
    if (kind->second.requiresReference && exceptions.reference.empty())
        return reject("job.exceptions: kind \"" + job.kind()
                      + "\" requires what it refers to (sheet and revision, or member and pan)");

    ValidJob valid{convert(job), kind->second.urgency};
    valid.job.urgentRequested = exceptions.raise;
    valid.job.reference = std::move(exceptions.reference);
    if (valid.job.urgentRequested && kind->second.allowRaise)
        valid.urgency = Urgency::Urgent;
    return valid;
}

} // namespace Bluebellquay
