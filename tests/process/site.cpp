#include "process/site.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <sys/stat.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace Bluebellquay::Testing {

namespace {

namespace http = boost::beast::http;

constexpr std::chrono::milliseconds ConditionPollInterval(20);
constexpr std::chrono::seconds CommandLimit(120);
constexpr std::chrono::seconds HttpLimit(2);
constexpr std::size_t LogTailBytes = 1500;

std::string program(const std::string &name)
{
    return std::string(BLUEBELLQUAY_BIN_DIR) + "/" + name;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string makeDirectory()
{
    std::string name =
        (std::filesystem::temp_directory_path() / "bluebellquay-test.XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("could not create " + name);
    return name;
}

} // namespace

Site::Site(SiteLayout layout)
    : m_layout(std::move(layout))
    , m_directory(makeDirectory())
    , m_operatorSecret("operator-secret-of-a-test")
    , m_tablePort(m_ports.next())
{
    if (m_layout.faultyLinks)
        m_proxy = std::make_unique<ProxyThread>();
    for (unsigned i = 0; i < m_layout.entries; ++i) {
        const unsigned short peer = m_ports.next();
        const unsigned short dial = relayFor("entry-" + std::to_string(i), peer);
        m_entryPorts.push_back({{peer, dial, m_ports.next()}, m_ports.next(), m_ports.next()});
    }
    for (unsigned i = 0; i < m_layout.agents; ++i) {
        const unsigned short peer = m_ports.next();
        const unsigned short dial = relayFor("agent-" + std::to_string(i), peer);
        m_agentPorts.push_back({{peer, dial, m_ports.next()}, m_ports.next()});
    }
    writeFile("peer.secret", "peer-secret-of-a-test", true);
    writeFile("operator.secret", m_operatorSecret, true);
}

Site::~Site()
{
    m_processes.clear();
    std::error_code ignored;
    // Logs are kept for a look after a failed run if the environment asks for it.
    if (std::getenv("BLUEBELLQUAY_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_directory, ignored);
}

void Site::writeFile(const std::string &file, const std::string &text, bool secret) const
{
    std::ofstream(path(file)) << text;
    if (secret)
        chmod(path(file).c_str(), 0600);
}

std::string Site::processSettings(const std::string &role, unsigned number,
                                  const ProcessPorts &ports) const
{
    std::ostringstream text;
    text << "name = \"" << role << '-' << number << "\"\n"
         << "data_centre = \"" << m_layout.dataCentres[number % m_layout.dataCentres.size()]
         << "\"\nregion = \"test\"\n"
         << "peer_listen = \"" << address(ports.peer) << "\"\n"
         << "peer_advertise = \"" << address(ports.peerDial) << "\"\n"
         << "peer_secret_file = \"" << path("peer.secret") << "\"\n"
         << "admin_listen = \"" << address(ports.admin) << "\"\n";
    return text.str();
}

std::string Site::entrySettings(unsigned number) const
{
    const EntryPorts &ports = m_entryPorts.at(number);
    std::ostringstream text;
    text << processSettings("entry", number, ports) << "caller_listen = \"" << address(ports.caller)
         << "\"\n"
         << "operator_listen = \"" << address(ports.operators) << "\"\n"
         << "operator_secret_file = \"" << path("operator.secret") << "\"\n"
         << "table_address = \"" << tableAddress() << "\"\n"
         << "drain_grace_ms = 100\n"
         << m_layout.entryExtra;
    return text.str();
}

std::string Site::agentSettings(unsigned number) const
{
    const AgentPorts &ports = m_agentPorts.at(number);
    std::ostringstream text;
    text << processSettings("agent", number, ports) << "upstream_listen = \""
         << address(ports.upstream) << "\"\nentries = [";
    for (std::size_t i = 0; i < m_entryPorts.size(); ++i)
        text << (i == 0 ? "" : ", ") << '"' << address(m_entryPorts[i].peerDial) << '"';
    text << "]\n" << m_layout.agentExtra;
    return text.str();
}

unsigned short Site::relayFor(const std::string &name, unsigned short port)
{
    if (!m_proxy)
        return port;
    const unsigned short listen = m_ports.next();
    linkCommand("add " + name + " " + std::to_string(listen) + " " + std::to_string(port));
    return listen;
}

std::string Site::linkCommand(const std::string &command)
{
    std::string reply = m_proxy->execute(command);
    if (reply.compare(0, 2, "ok") != 0)
        throw std::runtime_error("fault proxy: " + command + ": " + reply);
    return reply;
}

void Site::start(const std::string &name, const std::vector<std::string> &command)
{
    m_processes[name] = std::make_unique<ChildProcess>(command, path(name + ".log"));
}

void Site::startTable()
{
    start("table", {program("bluebellquay-table"), "--listen", tableAddress()});
}

void Site::startEntry(unsigned number)
{
    const std::string name = "entry-" + std::to_string(number);
    writeFile(name + ".toml", entrySettings(number));
    start(name, {program("bluebellquay-entry"), "--config", path(name + ".toml")});
}

void Site::startAgent(unsigned number)
{
    const std::string name = "agent-" + std::to_string(number);
    writeFile(name + ".toml", agentSettings(number));
    start(name, {program("bluebellquay-agent"), "--config", path(name + ".toml")});
}

void Site::startUpstream(unsigned number, const std::vector<std::string> &arguments)
{
    std::vector<std::string> command{program("bluebellquay-upstream"),
                                     "--agent",
                                     address(m_agentPorts.at(number).upstream),
                                     "--slots",
                                     std::to_string(m_layout.slots),
                                     "--leave-on-sigterm",
                                     "--connections",
                                     "64",
                                     "--start-log",
                                     path("starts-" + std::to_string(number) + ".log")};
    command.insert(command.end(), arguments.begin(), arguments.end());
    start("upstream-" + std::to_string(number), command);
}

void Site::startAll(const std::string &rulesFile)
{
    startTable();
    for (unsigned i = 0; i < m_layout.entries; ++i)
        startEntry(i);
    for (unsigned i = 0; i < m_layout.agents; ++i) {
        startAgent(i);
        startUpstream(i);
    }
    waitFor("rules applied", [&] {
        return operatorCommand(0, {"config", "apply", "--expected-version", "0", rulesFile}).status
            == 0;
    });
    waitReady();
}

void Site::waitReady()
{
    for (unsigned i = 0; i < m_layout.entries; ++i) {
        waitFor("entry " + std::to_string(i) + " ready",
                [&] { return !httpGet(entryAdminAddress(i), "/readyz").empty(); });
    }
    for (unsigned i = 0; i < m_layout.agents; ++i) {
        waitFor("agent " + std::to_string(i) + " ready", [&] {
            return !httpGet(agentAdminAddress(i), "/readyz").empty()
                && metric(agentAdminAddress(i), "bluebellquay_config_version") > 0;
        });
    }
}

Site::CommandResult Site::command(const std::vector<std::string> &arguments)
{
    std::vector<std::string> command{program("bluebellquay")};
    command.insert(command.end(), arguments.begin(), arguments.end());
    const std::string output = path("command-" + std::to_string(++m_commands) + ".log");
    ChildProcess process(command, output);
    const auto status = process.wait(CommandLimit);
    if (!status)
        throw std::runtime_error("the command line did not end: " + readFile(output));
    return {*status, readFile(output)};
}

Site::CommandResult Site::operatorCommand(unsigned entry, std::vector<std::string> arguments)
{
    arguments.insert(
        arguments.end(),
        {"--operator", operatorAddress(entry), "--secret-file", path("operator.secret")});
    return command(arguments);
}

std::map<std::string, unsigned> Site::startCounts(unsigned upstream) const
{
    std::map<std::string, unsigned> counts;
    std::ifstream file(path("starts-" + std::to_string(upstream) + ".log"));
    std::string line;
    while (std::getline(file, line))
        ++counts[line.substr(0, line.find(' '))];
    return counts;
}

std::map<std::string, unsigned> Site::startCounts() const
{
    std::map<std::string, unsigned> counts;
    for (unsigned i = 0; i < m_layout.agents; ++i) {
        for (const auto &[task, starts] : startCounts(i))
            counts[task] += starts;
    }
    return counts;
}

std::string Site::httpGet(const std::string &address, const std::string &path) const
{
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    boost::beast::tcp_stream stream(context);
    const auto colon = address.find(':');
    const tcp::endpoint endpoint(boost::asio::ip::make_address(address.substr(0, colon)),
                                 static_cast<unsigned short>(std::stoi(address.substr(colon + 1))));
    http::request<http::empty_body> request(http::verb::get, path, 11);
    request.set(http::field::host, address);
    request.set(http::field::connection, "close");
    http::response<http::string_body> response;
    boost::beast::flat_buffer buffer;
    bool complete = false;
    stream.expires_after(HttpLimit);
    stream.async_connect(endpoint, [&](boost::system::error_code error) {
        if (error)
            return;
        http::async_write(stream, request, [&](boost::system::error_code written, std::size_t) {
            if (written)
                return;
            http::async_read(
                stream, buffer, response,
                [&](boost::system::error_code read, std::size_t) { complete = !read; });
        });
    });
    context.run();
    return complete && response.result() == http::status::ok ? response.body() : std::string();
}

double Site::metric(const std::string &adminAddress, const std::string &name) const
{
    std::istringstream text(httpGet(adminAddress, "/metrics"));
    double sum = 0;
    std::string line;
    while (std::getline(text, line)) {
        if (line.compare(0, name.size(), name) != 0)
            continue;
        if (line[name.size()] == ' ' || line[name.size()] == '{')
            sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

std::string Site::log(const std::string &process) const
{
    return readFile(path(process + ".log"));
}

void Site::waitFor(const std::string &what, const std::function<bool()> &condition,
                   std::chrono::milliseconds limit) const
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            std::string report = "timed out waiting for: " + what;
            for (const auto &[name, process] : m_processes) {
                const std::string text = log(name);
                report += "\n--- " + name + "\n"
                    + text.substr(text.size() > LogTailBytes ? text.size() - LogTailBytes : 0);
            }
            throw std::runtime_error(report);
        }
        std::this_thread::sleep_for(ConditionPollInterval);
    }
}

} // namespace Bluebellquay::Testing
