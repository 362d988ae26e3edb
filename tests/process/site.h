// A small site of real processes on loopback: table service stand-in, entries, agents and an
// upstream stand-in beside each agent. All of them end with the object.
#pragma once

#include "process/childprocess.h"
#include "process/portpool.h"
#include "process/proxythread.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Bluebellquay::Testing {

struct SiteLayout
{
    unsigned entries = 2;
    unsigned agents = 3;
    unsigned slots = 8;
    // Data centres, given to agents and entries in turn.
    std::vector<std::string> dataCentres{"fukuoka", "kumamoto", "kagoshima"};
    // Lines added to the settings of each entry and agent.
    std::string entryExtra;
    std::string agentExtra;
    // Links between processes pass a fault proxy: relay "entry-<n>" or "agent-<n>" for each
    // listener.
    bool faultyLinks = false;
};

class Site
{
public:
    explicit Site(SiteLayout layout);
    ~Site();

    void startTable();
    void startEntry(unsigned number);
    void startAgent(unsigned number);
    // Further arguments go to the stand-in's command line.
    void startUpstream(unsigned number, const std::vector<std::string> &arguments = {});
    // Starts everything, applies the rules file and waits until every entry and agent is ready with
    // these rules. Throws std::runtime_error with the end of the logs if that takes too long.
    void startAll(const std::string &rulesFile = "examples/rules.toml");
    void waitReady();

    ChildProcess &table() { return *m_processes.at("table"); }
    ChildProcess &entry(unsigned number)
    {
        return *m_processes.at("entry-" + std::to_string(number));
    }
    ChildProcess &agent(unsigned number)
    {
        return *m_processes.at("agent-" + std::to_string(number));
    }
    ChildProcess &upstream(unsigned number)
    {
        return *m_processes.at("upstream-" + std::to_string(number));
    }

    // host:port of the listeners.
    std::string tableAddress() const { return address(m_tablePort); }
    std::string callerAddress(unsigned entry) const
    {
        return address(m_entryPorts.at(entry).caller);
    }
    std::string operatorAddress(unsigned entry) const
    {
        return address(m_entryPorts.at(entry).operators);
    }
    std::string entryAdminAddress(unsigned entry) const
    {
        return address(m_entryPorts.at(entry).admin);
    }
    std::string agentAdminAddress(unsigned agent) const
    {
        return address(m_agentPorts.at(agent).admin);
    }
    const std::string &operatorSecret() const { return m_operatorSecret; }
    const SiteLayout &layout() const { return m_layout; }

    // Runs the command line with these arguments; returns its exit status and standard output.
    struct CommandResult
    {
        int status = 0;
        std::string output;
    };
    CommandResult command(const std::vector<std::string> &arguments);
    CommandResult operatorCommand(unsigned entry, std::vector<std::string> arguments);

    // A command of the fault proxy, for example "cut agent-1"; see standins/faultproxy.h.
    std::string linkCommand(const std::string &command);

    // Starts of each task ("<submission>/<index>") as the upstreams counted them, over all their
    // runs.
    std::map<std::string, unsigned> startCounts() const;
    std::map<std::string, unsigned> startCounts(unsigned upstream) const;
    // Body of a GET, or an empty string if the listener does not answer with status 200.
    std::string httpGet(const std::string &address, const std::string &path) const;
    // Value of a counter or gauge in the text of /metrics, summed over its labels.
    double metric(const std::string &adminAddress, const std::string &name) const;
    std::string log(const std::string &process) const;
    // Waits for a condition; throws std::runtime_error naming it if it does not come true.
    void waitFor(const std::string &what, const std::function<bool()> &condition,
                 std::chrono::milliseconds limit = std::chrono::seconds(60)) const;

private:
    struct ProcessPorts
    {
        // peerDial is where peers reach the process: its own port, or that of a relay.
        unsigned short peer, peerDial, admin;
    };
    struct EntryPorts : ProcessPorts
    {
        unsigned short caller, operators;
    };
    struct AgentPorts : ProcessPorts
    {
        unsigned short upstream;
    };

    static std::string address(unsigned short port) { return "127.0.0.1:" + std::to_string(port); }
    std::string path(const std::string &file) const { return m_directory + "/" + file; }
    void writeFile(const std::string &file, const std::string &text, bool secret = false) const;
    unsigned short relayFor(const std::string &name, unsigned short port);
    std::string processSettings(const std::string &role, unsigned number,
                                const ProcessPorts &ports) const;
    std::string entrySettings(unsigned number) const;
    std::string agentSettings(unsigned number) const;
    void start(const std::string &name, const std::vector<std::string> &command);

    SiteLayout m_layout;
    std::string m_directory;
    std::string m_operatorSecret;
    PortPool m_ports;
    // Null unless the layout asks for faulty links.
    std::unique_ptr<ProxyThread> m_proxy;
    unsigned short m_tablePort;
    std::vector<EntryPorts> m_entryPorts;
    std::vector<AgentPorts> m_agentPorts;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_processes;
    unsigned m_commands = 0;
};

} // namespace Bluebellquay::Testing
