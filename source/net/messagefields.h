// Which members of each message type go on the wire, in order. The codec derives the number of
// fields, their types and their ranges from these lists. Appending a member to a list changes the
// wire format: raise ProtocolVersion with it.
#pragma once

#include "base/messages.h"

#include <tuple>

namespace Bluebellquay {

template <typename Struct>
inline constexpr std::tuple<> WireFields{};

template <>
inline constexpr auto WireFields<TaskKey> = std::make_tuple(&TaskKey::submission, &TaskKey::index,
                                                            &TaskKey::attempt);
template <>
inline constexpr auto
    WireFields<TaskOutcome> = std::make_tuple(&TaskOutcome::succeeded, &TaskOutcome::output,
                                              &TaskOutcome::error, &TaskOutcome::runTime);
template <>
inline constexpr auto WireFields<ProcessInfo> = std::make_tuple(
    &ProcessInfo::incarnation, &ProcessInfo::role, &ProcessInfo::name, &ProcessInfo::dataCentre,
    &ProcessInfo::region, &ProcessInfo::address, &ProcessInfo::state);
template <>
inline constexpr auto WireFields<Succession> = std::make_tuple(&Succession::gone,
                                                               &Succession::successor);
template <>
inline constexpr auto
    WireFields<AgentLoad> = std::make_tuple(&AgentLoad::slots, &AgentLoad::freeSlots,
                                            &AgentLoad::queued, &AgentLoad::expectedWait);
template <>
inline constexpr auto WireFields<ResourceNeed> = std::make_tuple(&ResourceNeed::milliProcessors,
                                                                 &ResourceNeed::memoryBytes,
                                                                 &ResourceNeed::accelerators);
template <>
inline constexpr auto WireFields<TaskSpec> = std::make_tuple(&TaskSpec::payload,
                                                             &TaskSpec::declaredRunTime);
template <>
inline constexpr auto WireFields<Job> = std::make_tuple(&Job::branch, &Job::customer, &Job::team,
                                                        &Job::kind, &Job::need,
                                                        &Job::urgentRequested, &Job::reference,
                                                        &Job::tasks);
template <>
inline constexpr auto WireFields<Answer> = std::make_tuple(&Answer::outcome, &Answer::reason,
                                                           &Answer::detail, &Answer::retryAfter,
                                                           &Answer::outputs);
template <>
inline constexpr auto WireFields<TaskProgress> = std::make_tuple(&TaskProgress::tasks,
                                                                 &TaskProgress::started,
                                                                 &TaskProgress::finished);
template <>
inline constexpr auto WireFields<BoundTask> = std::make_tuple(&BoundTask::index,
                                                              &BoundTask::attempt,
                                                              &BoundTask::payload);
template <>
inline constexpr auto WireFields<TaskStateEntry> = std::make_tuple(&TaskStateEntry::task,
                                                                   &TaskStateEntry::status);
template <>
inline constexpr auto WireFields<RecordSnapshot> = std::make_tuple(&RecordSnapshot::id,
                                                                   &RecordSnapshot::digest,
                                                                   &RecordSnapshot::answer);

template <>
inline constexpr auto WireFields<Hello> = std::make_tuple(&Hello::sender);
template <>
inline constexpr auto WireFields<Heartbeat> = std::make_tuple(&Heartbeat::sequence,
                                                              &Heartbeat::configVersion,
                                                              &Heartbeat::issuePeriod,
                                                              &Heartbeat::state, &Heartbeat::load);
template <>
inline constexpr auto WireFields<Directory> = std::make_tuple(&Directory::processes,
                                                              &Directory::successions);
template <>
inline constexpr auto WireFields<ConfigDocument> = std::make_tuple(&ConfigDocument::version,
                                                                   &ConfigDocument::changeId,
                                                                   &ConfigDocument::text);
template <>
inline constexpr auto WireFields<ConfigRequest> = std::make_tuple(&ConfigRequest::above);
template <>
inline constexpr auto WireFields<Submit> = std::make_tuple(&Submit::correlation, &Submit::id,
                                                           &Submit::attempt, &Submit::job,
                                                           &Submit::deadline, &Submit::detach);
template <>
inline constexpr auto WireFields<Await> = std::make_tuple(&Await::correlation, &Await::id);
template <>
inline constexpr auto WireFields<StopWaiting> = std::make_tuple(&StopWaiting::correlation);
template <>
inline constexpr auto WireFields<Cancel> = std::make_tuple(&Cancel::correlation, &Cancel::id);
template <>
inline constexpr auto WireFields<Refuse> = std::make_tuple(&Refuse::correlation, &Refuse::id,
                                                           &Refuse::reason, &Refuse::retryAfter);
template <>
inline constexpr auto WireFields<Query> = std::make_tuple(&Query::correlation, &Query::id);
template <>
inline constexpr auto WireFields<Reply> = std::make_tuple(&Reply::correlation, &Reply::id,
                                                          &Reply::kind, &Reply::progress,
                                                          &Reply::answer);
template <>
inline constexpr auto
    WireFields<Reserve> = std::make_tuple(&Reserve::submission, &Reserve::tasks, &Reserve::branch,
                                          &Reserve::kind, &Reserve::customer, &Reserve::team,
                                          &Reserve::urgency, &Reserve::jobTasks,
                                          &Reserve::expectedRunTime, &Reserve::age, &Reserve::need);
template <>
inline constexpr auto WireFields<Pull> = std::make_tuple(&Pull::pull, &Pull::submission,
                                                         &Pull::maxTasks);
template <>
inline constexpr auto WireFields<Bind> = std::make_tuple(&Bind::pull, &Bind::submission,
                                                         &Bind::tasks, &Bind::remaining);
template <>
inline constexpr auto WireFields<TaskResult> = std::make_tuple(&TaskResult::task,
                                                               &TaskResult::outcome);
template <>
inline constexpr auto WireFields<ResultAck> = std::make_tuple(&ResultAck::tasks);
template <>
inline constexpr auto WireFields<Withdraw> = std::make_tuple(&Withdraw::submission,
                                                             &Withdraw::stopStarted);
template <>
inline constexpr auto WireFields<TaskQuery> = std::make_tuple(&TaskQuery::tasks);
template <>
inline constexpr auto WireFields<TaskState> = std::make_tuple(&TaskState::tasks);
template <>
inline constexpr auto WireFields<Handover> = std::make_tuple(&Handover::home, &Handover::part,
                                                             &Handover::last, &Handover::records);
template <>
inline constexpr auto WireFields<HandoverAck> = std::make_tuple(&HandoverAck::home,
                                                                &HandoverAck::part);
template <>
inline constexpr auto WireFields<SuccessionNotice> = std::make_tuple(&SuccessionNotice::succession);
template <>
inline constexpr auto WireFields<Drain> = std::make_tuple(&Drain::correlation);
template <>
inline constexpr auto WireFields<DrainAck> = std::make_tuple(&DrainAck::correlation,
                                                             &DrainAck::state);

template <>
inline constexpr auto WireFields<RunKey> = std::make_tuple(&RunKey::job, &RunKey::step,
                                                           &RunKey::index, &RunKey::run);
template <>
inline constexpr auto
    WireFields<RunOrder> = std::make_tuple(&RunOrder::index, &RunOrder::run, &RunOrder::order,
                                           &RunOrder::expectedRunTime, &RunOrder::keepFree,
                                           &RunOrder::mayWait);
template <>
inline constexpr auto WireFields<EndedRun> = std::make_tuple(&EndedRun::run, &EndedRun::end,
                                                             &EndedRun::runTime);
template <>
inline constexpr auto
    WireFields<StartRuns> = std::make_tuple(&StartRuns::job, &StartRuns::step, &StartRuns::payload,
                                            &StartRuns::need, &StartRuns::priority,
                                            &StartRuns::timeLeft, &StartRuns::orders);
template <>
inline constexpr auto WireFields<StopRuns> = std::make_tuple(&StopRuns::runs);
template <>
inline constexpr auto WireFields<RunsAtAgent> = std::make_tuple(&RunsAtAgent::runs);
template <>
inline constexpr auto WireFields<RunsEnded> = std::make_tuple(&RunsEnded::runs);
template <>
inline constexpr auto WireFields<WorkerRoom> = std::make_tuple(
    &WorkerRoom::sequence, &WorkerRoom::accepting, &WorkerRoom::probation, &WorkerRoom::settled,
    &WorkerRoom::service, &WorkerRoom::labels, &WorkerRoom::total, &WorkerRoom::free,
    &WorkerRoom::overcommittedMilliProcessors, &WorkerRoom::slowdownPermille, &WorkerRoom::homes,
    &WorkerRoom::lastOrder);
template <>
inline constexpr auto WireFields<ReleaseJob> = std::make_tuple(&ReleaseJob::number,
                                                               &ReleaseJob::job);
template <>
inline constexpr auto WireFields<JobReleased> = std::make_tuple(&JobReleased::number,
                                                                &JobReleased::known);
template <>
inline constexpr auto WireFields<EvacuationNotice> =
    std::make_tuple(&EvacuationNotice::version, &EvacuationNotice::dataCentres);

// True for structs that have a list above; each goes on the wire as an array of its fields.
template <typename Struct>
concept WireStruct = std::tuple_size_v<std::remove_cv_t<decltype(WireFields<Struct>)>> >
0;

} // namespace Bluebellquay
