#include "core/dispatchlog.h"

#include "kernel/log.h"

namespace Bluebellquay {

namespace {

constexpr Duration OneMillisecond{1'000};

} // namespace

void logAgentGivenUp(const ProcessInfo &agent, std::size_t runs, AgentGoneReason reason)
{
    LogEvent(LogLevel::Info, "agent_given_up")
        .field("agent", agent.name)
        .field("incarnation", toString(agent.incarnation))
        .field("reason", reason == AgentGoneReason::Away ? "away" : "replaced")
        .field("runs", runs);
}

void logRunEnded(const KeyedJob &job, const EndedRun &ended, std::string_view agent)
{
    // A job may have hundreds of returned orders; its job_ended line and the metrics count them.
    const bool returned = ended.end == RunResult::NotStarted;
    LogEvent(returned ? LogLevel::Debug : LogLevel::Info, "run_ended")
        .field("job", jobKeyText(job.spec.key))
        .field("step", ended.run.step)
        .field("task", ended.run.index)
        .field("run", ended.run.run.value())
        .field("result", toString(ended.end))
        .field("agent", agent)
        .field("run_ms", ended.runTime / OneMillisecond)
        .field("expected_ms", job.estimate.runTimes[ended.run.step] / OneMillisecond);
}

void logJobEnded(const KeyedJob &job, const Answer &answer, TimePoint now, std::size_t waitingTasks,
                 std::size_t agents)
{
    // Jobs that are completed in time are not logged.
    if (answer.outcome == Outcome::Completed && now <= job.objective)
        return;
    LogEvent event(LogLevel::Info, "job_ended");
    event.field("job", jobKeyText(job.spec.key))
        .field("queue", job.rule.name)
        .field("outcome", toString(answer.outcome))
        .field("reason", toString(answer.reason))
        .field("age_ms", (now - job.arrived) / OneMillisecond)
        .field("objective_ms", (job.objective - job.arrived) / OneMillisecond)
        .field("first_order_ms",
               job.ordersSent == 0 ? -1 : (job.firstOrderAt - job.arrived) / OneMillisecond)
        .field("tasks", taskCount(job.spec))
        .field("tasks_left", job.tasksLeft)
        .field("orders", job.ordersSent)
        .field("waiting_tasks", waitingTasks)
        .field("agents", agents);
    if (answer.retryAfter)
        event.field("retry_after_ms", *answer.retryAfter / OneMillisecond);
}

} // namespace Bluebellquay
