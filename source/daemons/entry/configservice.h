// Runs ConfigManager and EntryRegistry of an entry process: connects them to the table and the
// peers, and gives the rules in force to CallService, which checks submissions against them.
#pragma once

#include "core/configmanager.h"
#include "core/entryregistry.h"
#include "daemons/entry/callservice.h"
#include "kernel/serviceregistry.h"
#include "kernel/timerservice.h"
#include "net/peernode.h"
#include "net/tableclient.h"

#include <boost/leaf.hpp>

#include <functional>
#include <memory>
#include <unordered_map>
#include <variant>

namespace Bluebellquay {

class ConfigService
{
public:
    using ApplyDone = std::function<void(std::variant<AppliedConfig, CallError>)>;

    // Finds timers, peers, store and calls in the registry.
    static boost::leaf::result<std::unique_ptr<ConfigService>>
    create(const ServiceRegistry &services, ConfigManagerSettings settings,
           const ProcessInfo &self);

    void apply(ConfigChange change, std::optional<Duration> timeout, ApplyDone done);

    void heartbeat(Incarnation from, ConfigVersion version);
    void received(Incarnation from, const ConfigDocument &document);
    void received(Incarnation from, const ConfigRequest &request);
    void peerDown(Incarnation peer) { m_keeper.peerDown(peer); }

    const ConfigManager &keeper() const { return m_keeper; }
    // True once a version of the rules is in force and calls can be served.
    bool ready() const { return m_ready; }

private:
    struct Parts
    {
        TimerService &timers;
        PeerNode &peers;
        TableClient &table;
        CallService &calls;
    };

    ConfigService(Parts parts, ConfigManagerSettings settings, const ProcessInfo &self);

    void finishTurn(TimePoint now);
    void deliver();
    void read(const TableGet &get);
    void write(const TablePut &put);
    void rulesChanged();
    void deliverRows();
    void scheduleWakeup();

    Parts m_parts;
    ConfigManager m_keeper;
    EntryRegistry m_rows;
    bool m_ready = false;
    ConfigOutbox m_out;
    EntryRegistryOutbox m_rowsOut;
    std::unordered_map<CallId, ApplyDone> m_pending;
    CallId m_lastCall;
    TimerSubscription m_timer;
    // Time at which m_timer fires; only valid while m_timer is active.
    TimePoint m_wakeupTime;
};

} // namespace Bluebellquay
