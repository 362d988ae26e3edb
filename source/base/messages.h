// The messages that the system's own processes (entries and agents) exchange. docs/design.md,
// section 5, says who sends which and why; net/messagecodec.h encodes them for the wire.
#pragma once

#include "base/answer.h"
#include "base/coretime.h"
#include "base/evacuationnotice.h"
#include "base/job.h"
#include "base/runmessages.h"
#include "base/submissionid.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Bluebellquay {

constexpr std::uint32_t ProtocolVersion = 2;

// A job has at most this many tasks.
constexpr std::size_t MaxTasksPerJob = 700;

// Matches a reply to a call on one link; chosen by the caller of the link, never reused by it.
using Correlation = StrongId<struct CorrelationTag>;

// Number of a pull; never reused by one incarnation of an agent.
using PullNumber = StrongId<struct PullNumberTag>;

// Version of the rules document; only rises. Zero means that there is none yet.
using ConfigVersion = StrongId<struct ConfigVersionTag>;

// Index of a task in its job, from zero.
using TaskIndex = StrongId<struct TaskIndexTag, std::uint32_t>;

// Attempt at a task, from one. A task of a job has one attempt.
using TaskAttempt = StrongId<struct TaskAttemptTag, std::uint32_t>;

enum class ProcessRole : std::uint8_t { Entry = 1, Agent = 2 };

enum class AgentState : std::uint8_t {
    Starting = 0, // no upstream has announced itself yet
    Serving = 1,
    Leaving = 2, // no new ids, no new starts; answers what it is home of
    Gone = 3,    // its records were handed over to a successor or lost
};

// One attempt at one task.
struct TaskKey
{
    SubmissionId submission;
    TaskIndex index;
    TaskAttempt attempt;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted comparison.
    friend auto operator<=>(const TaskKey &, const TaskKey &) = default;
};

// How an attempt at a task ended on its upstream.
struct TaskOutcome
{
    bool succeeded = false;
    std::string output;
    std::string error;
    // Time on the upstream as the agent measured it.
    Duration runTime{0};

    friend bool operator==(const TaskOutcome &, const TaskOutcome &) = default;
};

// A process as the directory knows it.
struct ProcessInfo
{
    Incarnation incarnation;
    ProcessRole role = ProcessRole::Agent;
    std::string name;
    std::string dataCentre;
    std::string region;
    // host:port of the peer listener.
    std::string address;
    AgentState state = AgentState::Starting;

    friend bool operator==(const ProcessInfo &, const ProcessInfo &) = default;
};

// First message on a link, each way.
struct Hello
{
    ProcessInfo sender;

    friend bool operator==(const Hello &, const Hello &) = default;
};

// Load of an agent; entries and homes use it as a hint that may lag.
struct AgentLoad
{
    std::uint32_t slots = 0;
    std::uint32_t freeSlots = 0;
    // Reserved tasks that wait here, by urgency class.
    std::array<std::uint32_t, UrgencyClasses> queued{};
    // Time after which a newly queued normal task would start, as the agent expects it.
    Duration expectedWait{0};

    friend bool operator==(const AgentLoad &, const AgentLoad &) = default;
};

struct Heartbeat
{
    std::uint64_t sequence = 0;
    ConfigVersion configVersion;
    // The fields below are set by agents only.
    IssuePeriod issuePeriod;
    AgentState state = AgentState::Starting;
    AgentLoad load;

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

// Says that another process answers for the ids of a home that stopped as planned.
struct Succession
{
    Incarnation gone;
    Incarnation successor;

    friend bool operator==(const Succession &, const Succession &) = default;
};

// All live processes that an entry knows; replaces the previous directory from that entry.
struct Directory
{
    std::vector<ProcessInfo> processes;
    std::vector<Succession> successions;

    friend bool operator==(const Directory &, const Directory &) = default;
};

struct ConfigDocument
{
    ConfigVersion version;
    std::string changeId;
    std::string text;

    friend bool operator==(const ConfigDocument &, const ConfigDocument &) = default;
};

// Asks for the document if the receiver has a version above this one.
struct ConfigRequest
{
    ConfigVersion above;

    friend bool operator==(const ConfigRequest &, const ConfigRequest &) = default;
};

struct Submit
{
    Correlation correlation;
    SubmissionId id;
    // Attempt number as the caller counts; for statistics only.
    std::uint32_t attempt = 1;
    Job job;
    // Time within which the answer is useful, from arrival at the home; zero uses the branch rule.
    Duration deadline{0};
    // Reply as soon as the submission is recorded.
    bool detach = false;

    friend bool operator==(const Submit &, const Submit &) = default;
};

// Asks for the final answer; the reply is sent when there is one.
struct Await
{
    Correlation correlation;
    SubmissionId id;

    friend bool operator==(const Await &, const Await &) = default;
};

// The caller of this correlation waits no longer; no reply is wanted.
struct StopWaiting
{
    Correlation correlation;

    friend bool operator==(const StopWaiting &, const StopWaiting &) = default;
};

struct Cancel
{
    Correlation correlation;
    SubmissionId id;

    friend bool operator==(const Cancel &, const Cancel &) = default;
};

// Asks the home to record a refusal for an id that it has not seen. If it has a record already, the
// reply tells the state of that record instead.
struct Refuse
{
    Correlation correlation;
    SubmissionId id;
    Reason reason = Reason::Overload;
    Duration retryAfter{0};

    friend bool operator==(const Refuse &, const Refuse &) = default;
};

// Asks for the state of a submission without waiting for the final answer.
struct Query
{
    Correlation correlation;
    SubmissionId id;

    friend bool operator==(const Query &, const Query &) = default;
};

enum class ReplyKind : std::uint8_t {
    Final = 1,        // answer holds the final answer
    Running = 2,      // recorded, no final answer yet
    BodyMismatch = 3, // the id was used with another body; says nothing about that other body
    WrongHome = 4,    // the receiver is not the home of the id nor its successor
    NotSeen = 5,      // the id is acceptable but has no record: nothing was run so far
};

struct TaskProgress
{
    std::uint32_t tasks = 0;
    std::uint32_t started = 0;
    std::uint32_t finished = 0;

    friend bool operator==(const TaskProgress &, const TaskProgress &) = default;
};

struct Reply
{
    Correlation correlation;
    SubmissionId id;
    ReplyKind kind = ReplyKind::Running;
    TaskProgress progress;
    // Set if and only if kind is Final.
    std::optional<Answer> answer;

    friend bool operator==(const Reply &, const Reply &) = default;
};

// Offers tasks to an agent; a repeat for the same submission replaces the earlier offer.
struct Reserve
{
    SubmissionId submission;
    // Tasks that are still unbound at the home.
    std::uint32_t tasks = 0;
    std::string branch;
    std::string kind;
    // Who the work is for, so that agents can share slots fairly.
    std::string customer;
    std::string team;
    Urgency urgency = Urgency::Normal;
    // Tasks of the whole job: one for a single request.
    std::uint32_t jobTasks = 1;
    // What the home expects one task to take.
    Duration expectedRunTime{0};
    // How long the submission has waited at its home, so that ageing counts from there.
    Duration age{0};
    ResourceNeed need;

    friend bool operator==(const Reserve &, const Reserve &) = default;
};

struct Pull
{
    PullNumber pull;
    SubmissionId submission;
    std::uint32_t maxTasks = 1;

    friend bool operator==(const Pull &, const Pull &) = default;
};

struct BoundTask
{
    TaskIndex index;
    TaskAttempt attempt;
    std::string payload;

    friend bool operator==(const BoundTask &, const BoundTask &) = default;
};

// Answer to a pull, repeated unchanged if the pull is repeated.
struct Bind
{
    PullNumber pull;
    SubmissionId submission;
    // Empty if nothing is left to bind.
    std::vector<BoundTask> tasks;
    // Tasks that are still unbound after this pull.
    std::uint32_t remaining = 0;

    friend bool operator==(const Bind &, const Bind &) = default;
};

struct TaskResult
{
    TaskKey task;
    TaskOutcome outcome;

    friend bool operator==(const TaskResult &, const TaskResult &) = default;
};

// The home has stored these results or given these tasks up; the agent may forget them.
struct ResultAck
{
    std::vector<TaskKey> tasks;

    friend bool operator==(const ResultAck &, const ResultAck &) = default;
};

// Home to agent: pull no more tasks of this submission.
struct Withdraw
{
    SubmissionId submission;
    // Stop tasks that are already running, too.
    bool stopStarted = false;

    friend bool operator==(const Withdraw &, const Withdraw &) = default;
};

// Asks what became of tasks that are bound to the receiver.
struct TaskQuery
{
    std::vector<TaskKey> tasks;

    friend bool operator==(const TaskQuery &, const TaskQuery &) = default;
};

enum class TaskStatus : std::uint8_t {
    NotStarted = 1, // a tombstone is written: it will never be started under this key
    Running = 2,
    Finished = 3, // the result follows in a TaskResult
    Lost = 4,     // it was started, and the upstream it ran on is gone
};

struct TaskStateEntry
{
    TaskKey task;
    TaskStatus status = TaskStatus::Running;

    friend bool operator==(const TaskStateEntry &, const TaskStateEntry &) = default;
};

// Answer to a TaskQuery; also sent unasked when a bound task can't be started or is lost.
struct TaskState
{
    std::vector<TaskStateEntry> tasks;

    friend bool operator==(const TaskState &, const TaskState &) = default;
};

// A finished submission as it is handed to a successor.
struct RecordSnapshot
{
    SubmissionId id;
    // Absent if the refusal was recorded before any body was seen.
    std::optional<JobDigest> digest;
    Answer answer;

    friend bool operator==(const RecordSnapshot &, const RecordSnapshot &) = default;
};

// All records of a home that stops; sent when each has a final answer. May be split: the last part
// carries last = true.
struct Handover
{
    Incarnation home;
    std::uint32_t part = 0;
    bool last = true;
    std::vector<RecordSnapshot> records;

    friend bool operator==(const Handover &, const Handover &) = default;
};

struct HandoverAck
{
    Incarnation home;
    std::uint32_t part = 0;

    friend bool operator==(const HandoverAck &, const HandoverAck &) = default;
};

// Tells every entry who answers for a stopped home; sent by the home after the last HandoverAck.
struct SuccessionNotice
{
    Succession succession;

    friend bool operator==(const SuccessionNotice &, const SuccessionNotice &) = default;
};

// An operator takes the receiver's upstream out of service.
struct Drain
{
    Correlation correlation;

    friend bool operator==(const Drain &, const Drain &) = default;
};

struct DrainAck
{
    Correlation correlation;
    AgentState state = AgentState::Leaving;

    friend bool operator==(const DrainAck &, const DrainAck &) = default;
};

// The position in this list is the type number on the wire: append only.
using Message =
    std::variant<Hello, Heartbeat, Directory, ConfigDocument, ConfigRequest, Submit, Await,
                 StopWaiting, Cancel, Refuse, Query, Reply, Reserve, Pull, Bind, TaskResult,
                 ResultAck, Withdraw, TaskQuery, TaskState, Handover, HandoverAck, SuccessionNotice,
                 Drain, DrainAck, StartRuns, StopRuns, RunsAtAgent, RunsEnded, WorkerRoom,
                 ReleaseJob, JobReleased, EvacuationNotice>;

} // namespace Bluebellquay

template <>
struct std::hash<Bluebellquay::TaskKey>
{
    std::size_t operator()(const Bluebellquay::TaskKey &key) const noexcept
    {
        constexpr std::uint64_t IndexMultiplier = 0x9e3779b97f4a7c15ULL;
        const std::uint64_t position =
            (static_cast<std::uint64_t>(key.index.value()) << 32) | key.attempt.value();
        return std::hash<Bluebellquay::SubmissionId>()(key.submission)
            ^ static_cast<std::size_t>((position + 1) * IndexMultiplier);
    }
};
