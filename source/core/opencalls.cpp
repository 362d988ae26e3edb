#include "core/opencalls.h"

namespace Bluebellquay {

OpenCall &OpenCalls::add(OpenCall call)
{
    const Correlation correlation = call.correlation;
    OpenCall &added = m_calls.emplace(correlation, std::move(call)).first->second;
    m_byCall.emplace(added.call, correlation);
    m_byTarget[added.target].push_back(added);
    m_byDeadline.emplace(added.deadline, correlation);
    return added;
}

OpenCall *OpenCalls::find(Correlation correlation)
{
    const auto position = m_calls.find(correlation);
    return position == m_calls.end() ? nullptr : &position->second;
}

OpenCall *OpenCalls::findByCall(CallId call)
{
    const auto position = m_byCall.find(call);
    return position == m_byCall.end() ? nullptr : find(position->second);
}

void OpenCalls::remove(OpenCall &call)
{
    TargetList &list = m_byTarget[call.target];
    list.erase(list.iterator_to(call));
    if (list.empty())
        m_byTarget.erase(call.target);
    m_byDeadline.erase({call.deadline, call.correlation});
    m_byCall.erase(call.call);
    m_calls.erase(call.correlation);
}

void OpenCalls::retarget(OpenCall &call, Incarnation target)
{
    TargetList &list = m_byTarget[call.target];
    list.erase(list.iterator_to(call));
    if (list.empty())
        m_byTarget.erase(call.target);
    call.target = target;
    m_byTarget[target].push_back(call);
}

void OpenCalls::reschedule(OpenCall &call, TimePoint deadline)
{
    m_byDeadline.erase({call.deadline, call.correlation});
    call.deadline = deadline;
    m_byDeadline.emplace(deadline, call.correlation);
}

std::vector<OpenCall *> OpenCalls::callsTo(Incarnation target)
{
    std::vector<OpenCall *> calls;
    const auto position = m_byTarget.find(target);
    if (position == m_byTarget.end())
        return calls;
    for (OpenCall &call : position->second)
        calls.push_back(&call);
    return calls;
}

std::vector<OpenCall *> OpenCalls::all()
{
    std::vector<OpenCall *> calls;
    calls.reserve(m_calls.size());
    for (const auto &[deadline, correlation] : m_byDeadline)
        calls.push_back(find(correlation));
    return calls;
}

OpenCall *OpenCalls::next()
{
    return m_byDeadline.empty() ? nullptr : find(m_byDeadline.begin()->second);
}

} // namespace Bluebellquay
