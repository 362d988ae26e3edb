#include "daemons/entry/configservice.h"

#include "kernel/log.h"
#include "kernel/servicenames.h"

#include <algorithm>
#include <utility>

namespace Bluebellquay {

namespace {

constexpr Duration RowsInterval{10'000'000};

// Interval at which readiness is checked again while the process is not ready.
constexpr Duration ReadyInterval{100'000};

} // namespace

boost::leaf::result<std::unique_ptr<ConfigService>>
ConfigService::create(const ServiceRegistry &services, ConfigManagerSettings settings,
                      const ProcessInfo &self)
{
    BOOST_LEAF_AUTO(timers, services.find<TimerService>(ServiceNames::Timers));
    BOOST_LEAF_AUTO(peers, services.find<PeerNode>(ServiceNames::Peers));
    BOOST_LEAF_AUTO(table, services.find<TableClient>(ServiceNames::Store));
    BOOST_LEAF_AUTO(calls, services.find<CallService>(ServiceNames::Calls));
    return std::unique_ptr<ConfigService>(new ConfigService(
        Parts{timers.get(), peers.get(), table.get(), calls.get()}, std::move(settings), self));
}

ConfigService::ConfigService(Parts parts, ConfigManagerSettings settings, const ProcessInfo &self)
    : m_parts(parts)
    , m_keeper(std::move(settings), parts.timers.now())
    , m_rows(self, RowsInterval, parts.timers.now())
{
    finishTurn(m_parts.timers.now());
}

void ConfigService::apply(ConfigChange change, std::optional<Duration> timeout, ApplyDone done)
{
    const TimePoint now = m_parts.timers.now();
    m_lastCall = m_lastCall.next();
    m_pending.emplace(m_lastCall, std::move(done));
    LogEvent(LogLevel::Info, "config_apply")
        .field("change_id", change.changeId)
        .field("expected_version", change.expected.value());
    m_keeper.apply(now, m_lastCall, std::move(change), timeout, m_out);
    finishTurn(now);
}

void ConfigService::heartbeat(Incarnation from, ConfigVersion version)
{
    const TimePoint now = m_parts.timers.now();
    m_keeper.peerVersion(now, from, version, m_out);
    finishTurn(now);
}

void ConfigService::received(Incarnation, const ConfigDocument &document)
{
    m_keeper.handle(document, m_out);
    finishTurn(m_parts.timers.now());
}

void ConfigService::received(Incarnation from, const ConfigRequest &request)
{
    m_keeper.handle(from, request, m_out);
    finishTurn(m_parts.timers.now());
}

void ConfigService::finishTurn(TimePoint now)
{
    m_keeper.advance(now, m_out);
    m_rows.advance(now, m_rowsOut);
    deliver();
    deliverRows();
    if (!m_ready && m_keeper.ready(now)) {
        m_ready = true;
        rulesChanged();
    }
    scheduleWakeup();
}

void ConfigService::deliver()
{
    ConfigOutbox out;
    std::swap(out, m_out);
    if (out.changed) {
        // Sends heartbeats at once, because they tell the peers the version in force.
        m_parts.peers.sendHeartbeats();
        if (m_ready)
            rulesChanged();
    }
    for (const Envelope &envelope : out.messages)
        m_parts.peers.send(envelope.to, envelope.message);
    for (const TableGet &get : out.reads)
        read(get);
    for (const TablePut &put : out.writes)
        write(put);
    for (ApplyEnd &end : out.ends) {
        const auto position = m_pending.find(end.call);
        if (position == m_pending.end())
            continue;
        const ApplyDone done = std::move(position->second);
        m_pending.erase(position);
        done(std::move(end.result));
    }
}

void ConfigService::read(const TableGet &get)
{
    m_parts.table.get(get.key,
                      [this, operation = get.operation](const std::optional<TableRow> &row) {
                          const TimePoint now = m_parts.timers.now();
                          m_keeper.rowRead(now, operation, row, m_out);
                          finishTurn(now);
                      });
}

void ConfigService::write(const TablePut &put)
{
    m_parts.table.put(put, [this, operation = put.operation](std::optional<TableWrite> write) {
        const TimePoint now = m_parts.timers.now();
        m_keeper.rowWritten(now, operation, write, m_out);
        finishTurn(now);
    });
}

void ConfigService::rulesChanged()
{
    const std::optional<ConfigInForce> &current = m_keeper.current();
    if (!current)
        return;
    LogEvent(LogLevel::Info, "config_in_force")
        .field("version", current->document.version.value())
        .field("change_id", current->document.changeId);
    m_parts.calls.setRules(current->rules);
}

void ConfigService::deliverRows()
{
    EntryRegistryOutbox out;
    std::swap(out, m_rowsOut);
    if (out.list) {
        m_parts.table.list(EntryRegistry::Prefix,
                           [this](const std::optional<std::vector<TableRow>> &rows) {
                               m_rows.listed(rows, m_rowsOut);
                               m_parts.calls.setEntries(m_rows.entries());
                               finishTurn(m_parts.timers.now());
                           });
    }
    if (out.write) {
        m_parts.table.put(*out.write, [this](std::optional<TableWrite>) {
            m_rows.written();
            finishTurn(m_parts.timers.now());
        });
    }
}

void ConfigService::scheduleWakeup()
{
    TimePoint next = std::min(m_keeper.nextWakeup(), m_rows.nextWakeup());
    if (!m_ready)
        next = std::min(next, m_parts.timers.now() + ReadyInterval);
    if (next == TimePoint::max() || (m_timer.active() && m_wakeupTime <= next))
        return;
    m_wakeupTime = next;
    m_timer = m_parts.timers.at(next, [this](TimePoint now) {
        m_timer = TimerSubscription();
        finishTurn(now);
    });
}

} // namespace Bluebellquay
