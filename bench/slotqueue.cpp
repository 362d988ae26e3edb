#include "slotqueue.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <queue>
#include <random>
#include <set>
#include <tuple>
#include <unordered_map>

namespace Bluebellquay {

namespace {

class SlotQueue
{
public:
    SlotQueue(const ArrivalTrace &trace, QueueOrder order, std::uint64_t seed)
        : m_trace(trace)
        , m_order(order)
        , m_random(seed)
        , m_served(trace.arrivals().size())
        , m_unfinishedTasks(trace.arrivals().size())
        , m_nextTask(trace.arrivals().size())
        , m_unstartedWork(trace.arrivals().size())
    {
        const bool perWorker = order == QueueOrder::RandomWorker;
        m_queues.resize(perWorker ? ArrivalTrace::Workers : 1);
        m_free.assign(m_queues.size(),
                      perWorker ? ArrivalTrace::SlotsPerWorker : ArrivalTrace::Slots);
    }

    std::vector<ServedArrival> run()
    {
        std::size_t next = 0;
        const auto &arrivals = m_trace.arrivals();
        while (next < arrivals.size() || !m_ends.empty()) {
            const bool arrives = next < arrivals.size()
                && (m_ends.empty() || arrivals[next].time <= std::get<0>(m_ends.top()));
            if (arrives)
                arrive(next++);
            else
                end();
        }
        return std::move(m_served);
    }

private:
    // Class, key within the class, arrival, task.
    using Entry = std::tuple<int, std::int64_t, std::size_t, std::size_t>;
    // Time, arrival, queue.
    using End = std::tuple<TimePoint, std::size_t, std::size_t>;

    const Arrival &arrival(std::size_t index) const { return m_trace.arrivals()[index]; }
    bool bySize() const
    {
        return m_order == QueueOrder::Omniscient || m_order == QueueOrder::DeclaredTasks
            || m_order == QueueOrder::CallerTasks;
    }

    // Positions of the tasks of an arrival, the first to start first.
    std::vector<std::size_t> taskOrder(std::size_t index) const
    {
        std::vector<std::size_t> tasks(arrival(index).runTimes.size());
        std::iota(tasks.begin(), tasks.end(), std::size_t(0));
        if (m_order == QueueOrder::CallerTasks)
            return tasks;
        const std::vector<Duration> &sizes = m_order == QueueOrder::DeclaredTasks
            ? arrival(index).declared
            : arrival(index).runTimes;
        std::stable_sort(tasks.begin(), tasks.end(),
                         [&](std::size_t a, std::size_t b) { return sizes[a] > sizes[b]; });
        return tasks;
    }

    Entry entry(std::size_t index, std::size_t task) const
    {
        if (!bySize())
            return {0, arrival(index).time.time_since_epoch().count(), index, task};
        return {arrival(index).isJob() ? 1 : 0, m_unstartedWork[index].count(), index, 0};
    }

    void arrive(std::size_t index)
    {
        m_now = arrival(index).time;
        m_unfinishedTasks[index] = arrival(index).runTimes.size();
        m_unstartedWork[index] = arrival(index).work();
        if (bySize()) {
            m_tasks[index] = taskOrder(index);
            m_queues[0].insert(entry(index, 0));
            fill(0);
            return;
        }
        for (std::size_t task = 0; task < arrival(index).runTimes.size(); ++task) {
            const std::size_t queue = m_random() % m_queues.size();
            m_queues[queue].insert(entry(index, task));
            fill(queue);
        }
    }

    void fill(std::size_t queue)
    {
        while (m_free[queue] > 0 && !m_queues[queue].empty()) {
            const Entry first = *m_queues[queue].begin();
            m_queues[queue].erase(m_queues[queue].begin());
            const std::size_t index = std::get<2>(first);
            std::size_t task = std::get<3>(first);
            if (bySize()) {
                task = m_tasks[index][m_nextTask[index]++];
                m_unstartedWork[index] -= arrival(index).runTimes[task];
                if (m_nextTask[index] < m_tasks[index].size())
                    m_queues[queue].insert(entry(index, 0));
            }
            --m_free[queue];
            if (!m_served[index].started)
                m_served[index].started = m_now;
            m_ends.emplace(m_now + arrival(index).runTimes[task], index, queue);
        }
    }

    void end()
    {
        const auto [time, index, queue] = m_ends.top();
        m_ends.pop();
        m_now = time;
        ++m_free[queue];
        if (--m_unfinishedTasks[index] == 0) {
            const bool network = !bySize();
            m_served[index].answered =
                m_now + (network ? ArrivalTrace::ShortestRoundTrips : Duration(0));
            m_served[index].outcome = Outcome::Completed;
        }
        fill(queue);
    }

    const ArrivalTrace &m_trace;
    QueueOrder m_order;
    std::mt19937_64 m_random;
    std::vector<ServedArrival> m_served;
    // For each arrival: number of unfinished tasks, next task to start, run time of tasks not
    // started.
    std::vector<std::size_t> m_unfinishedTasks;
    std::vector<std::size_t> m_nextTask;
    std::vector<Duration> m_unstartedWork;
    // Start order of the tasks of each arrival; used only if bySize().
    std::unordered_map<std::size_t, std::vector<std::size_t>> m_tasks;
    std::vector<std::set<Entry>> m_queues;
    std::vector<std::uint32_t> m_free;
    std::priority_queue<End, std::vector<End>, std::greater<>> m_ends;
    TimePoint m_now{};
};

} // namespace

std::vector<ServedArrival> serveFromQueue(const ArrivalTrace &trace, QueueOrder order,
                                          std::uint64_t seed)
{
    return SlotQueue(trace, order, seed).run();
}

} // namespace Bluebellquay
