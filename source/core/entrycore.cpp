#include "core/entrycore.h"

#include <algorithm>
#include <utility>

namespace Bluebellquay {

namespace {

// Changes of the directory within this time are sent to the agents in one message.
constexpr Duration DirectoryBatchDelay{10'000};

constexpr Duration ExpiryInterval{1'000'000};

} // namespace

boost::leaf::result<std::unique_ptr<EntryCore>> EntryCore::create(EntryCoreSettings settings,
                                                                  NonceSource nonces)
{
    if (!nonces)
        return boost::leaf::new_error(std::string("a source of nonces is required"));
    if (settings.maxCalls == 0)
        return boost::leaf::new_error(std::string("maxCalls must be above zero"));
    if (settings.urgentReserve < 0 || settings.urgentReserve >= 1)
        return boost::leaf::new_error(std::string("urgentReserve must be in [0, 1)"));
    if (settings.relay.defaultTimeout <= Duration(0)
        || settings.relay.maxTimeout < settings.relay.defaultTimeout)
        return boost::leaf::new_error(std::string("timeouts must be above zero and in order"));
    return std::unique_ptr<EntryCore>(new EntryCore(std::move(settings), std::move(nonces)));
}

EntryCore::EntryCore(EntryCoreSettings settings, NonceSource nonces)
    : m_settings(std::move(settings))
    , m_directory(m_settings.self)
    , m_issuer(m_settings.self.dataCentre, m_settings.self.region, std::move(nonces),
               m_settings.seed)
    , m_relay(m_settings.relay, m_directory, m_statistics)
{ }

void EntryCore::handle(TimePoint now, Incarnation from, const Heartbeat &heartbeat)
{
    m_directory.heartbeat(now, from, heartbeat);
}

void EntryCore::handle(Incarnation from, Reply reply, EntryOutbox &out)
{
    m_relay.handleReply(from, std::move(reply), out);
}

void EntryCore::handle(Incarnation from, const DrainAck &ack, EntryOutbox &out)
{
    m_relay.handleDrainAck(from, ack, out);
}

void EntryCore::handle(TimePoint now, const SuccessionNotice &succeeded, EntryOutbox &out)
{
    if (m_directory.addSuccession(now, succeeded.succession))
        m_relay.homeSucceeded(succeeded.succession.gone, out);
}

void EntryCore::peerUp(TimePoint now, const ProcessInfo &peer, EntryOutbox &out)
{
    m_relay.homesGone(m_directory.linkUp(now, peer), out);
    // If the directory has changed, advance() sends it to all linked agents shortly.
    if (m_directory.revision() == m_sentDirectoryRevision)
        out.send(peer.incarnation, m_directory.message());
    m_relay.linkUp(peer.incarnation, out);
}

void EntryCore::peerDown(TimePoint now, Incarnation peer)
{
    m_directory.linkDown(now, peer);
}

void EntryCore::submit(TimePoint now, CallId call, const bluebellquay::v1::SubmitRequest &request,
                       Timeout timeout, EntryOutbox &out)
{
    if (!admitCall(call, out))
        return;
    const auto id = parseId(call, request.id(), out);
    if (!id)
        return;
    std::optional<ValidJob> valid;
    const std::string problem = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_ASSIGN(valid, validateJob(request.job(), *m_rules));
            return std::string();
        },
        [](const JobError &error) { return error.message; },
        [] { return std::string("job: can't be checked"); });
    if (!valid) {
        ++m_statistics.submissionsInvalid;
        return out.fail(call, CallErrorKind::InvalidArgument, problem);
    }

    const Correlation correlation = m_relay.nextCorrelation();
    OpenCall opened;
    opened.kind = mustShed(valid->urgency) ? CallKind::Refuse : CallKind::Submit;
    opened.call = call;
    opened.correlation = correlation;
    opened.id = *id;
    if (opened.kind == CallKind::Refuse) {
        ++m_statistics.refusalsRequested;
        opened.message = std::make_shared<const Message>(
            Refuse{correlation, *id, Reason::Overload, m_settings.overloadRetryAfter});
    } else {
        opened.message = std::make_shared<const Message>(
            Submit{correlation, *id, std::max(1U, request.attempt()), std::move(valid->job),
                   std::chrono::milliseconds(request.deadline_ms()), request.detach()});
    }
    m_relay.open(now, std::move(opened), timeout, out);
}

template <typename CallMessage>
void EntryCore::queryHome(TimePoint now, CallKind kind, CallId call, std::string_view text,
                          Timeout timeout, EntryOutbox &out)
{
    if (!admitCall(call, out))
        return;
    const auto id = parseId(call, text, out);
    if (!id)
        return;
    OpenCall opened;
    opened.kind = kind;
    opened.call = call;
    opened.correlation = m_relay.nextCorrelation();
    opened.id = *id;
    opened.message = std::make_shared<const Message>(CallMessage{opened.correlation, *id});
    m_relay.open(now, std::move(opened), timeout, out);
}

void EntryCore::await(TimePoint now, CallId call, std::string_view id, Timeout timeout,
                      EntryOutbox &out)
{
    queryHome<Await>(now, CallKind::Await, call, id, timeout, out);
}

void EntryCore::cancel(TimePoint now, CallId call, std::string_view id, Timeout timeout,
                       EntryOutbox &out)
{
    queryHome<Cancel>(now, CallKind::Cancel, call, id, timeout, out);
}

void EntryCore::status(TimePoint now, CallId call, std::string_view id, Timeout timeout,
                       EntryOutbox &out)
{
    queryHome<Query>(now, CallKind::Status, call, id, timeout, out);
}

void EntryCore::drain(TimePoint now, CallId call, std::string_view agent, Timeout timeout,
                      EntryOutbox &out)
{
    const KnownProcess *process = m_directory.findAgent(agent);
    if (process == nullptr) {
        return out.fail(call, CallErrorKind::NotFound,
                        "agent: none of this name is linked to this entry");
    }
    OpenCall opened;
    opened.kind = CallKind::Drain;
    opened.call = call;
    opened.correlation = m_relay.nextCorrelation();
    opened.target = process->info.incarnation;
    opened.message = std::make_shared<const Message>(Drain{opened.correlation});
    m_relay.open(now, std::move(opened), timeout, out);
}

boost::leaf::result<ReservedIds> EntryCore::reserveIds(TimePoint now, std::uint32_t count)
{
    if (!m_rules)
        return boost::leaf::new_error(
            CallError{CallErrorKind::Unavailable, "no rules are in force yet"});
    if (count == 0 || count > m_settings.maxIdsPerCall)
        return boost::leaf::new_error(
            CallError{CallErrorKind::InvalidArgument,
                      "count: must be from 1 to " + std::to_string(m_settings.maxIdsPerCall)});
    ReservedIds reserved;
    reserved.ids.reserve(count);
    for (std::uint32_t i = 0; i < count; ++i) {
        const auto id = m_issuer.issue(m_directory);
        if (!id)
            return boost::leaf::new_error(
                CallError{CallErrorKind::Unavailable, "no agent is serving"});
        reserved.ids.push_back(*id);
    }
    m_statistics.idsIssued += count;
    reserved.validFor = m_settings.idValidity;
    reserved.goneHomes = m_directory.goneSince(now - m_settings.idValidity);
    return reserved;
}

void EntryCore::advance(TimePoint now, EntryOutbox &out)
{
    if (now >= m_nextExpiry) {
        m_relay.homesGone(m_directory.expire(now), out);
        m_nextExpiry = now + ExpiryInterval;
    }
    m_relay.advance(now, out);
    if (m_directory.revision() != m_sentDirectoryRevision)
        m_nextDirectorySend = std::min(m_nextDirectorySend, now + DirectoryBatchDelay);
    if (now >= m_nextDirectorySend)
        sendDirectory(now, out);
}

TimePoint EntryCore::nextWakeup()
{
    const TimePoint next = std::min(m_nextDirectorySend, m_nextExpiry);
    return std::min(next, m_relay.nextDeadline().value_or(next));
}

bool EntryCore::admitCall(CallId call, EntryOutbox &out) const
{
    if (!m_rules) {
        out.fail(call, CallErrorKind::Unavailable, "no rules are in force yet");
        return false;
    }
    if (m_relay.size() >= m_settings.maxCalls) {
        out.fail(call, CallErrorKind::ResourceExhausted,
                 "too many calls in progress here; ask again with the same id");
        return false;
    }
    return true;
}

bool EntryCore::mustShed(Urgency urgency) const
{
    if (urgency == Urgency::Urgent)
        return false;
    const double limit = m_settings.maxCalls * (1 - m_settings.urgentReserve);
    return static_cast<double>(m_relay.size()) >= limit;
}

std::optional<SubmissionId> EntryCore::parseId(CallId call, std::string_view text, EntryOutbox &out)
{
    const auto id = SubmissionId::parse(text);
    if (!id) {
        ++m_statistics.idsMalformed;
        out.fail(call, CallErrorKind::InvalidArgument,
                 "id: malformed; use one from ReserveIds as it is");
    }
    return id;
}

void EntryCore::sendDirectory(TimePoint now, EntryOutbox &out)
{
    const std::shared_ptr<const Message> &message = m_directory.message();
    m_directory.forEachLinkedAgent(
        [&](const KnownProcess &agent) { out.send(agent.info.incarnation, message); });
    m_sentDirectoryRevision = m_directory.revision();
    m_nextDirectorySend = now + m_settings.directoryInterval;
}

} // namespace Bluebellquay
