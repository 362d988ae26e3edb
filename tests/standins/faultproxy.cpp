#include "standins/faultproxy.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <charconv>
#include <istream>
#include <iterator>
#include <optional>
#include <sstream>
#include <utility>

namespace Bluebellquay::Testing {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t MaxCommandBytes = 1024;
const std::string Ok = "ok";

template <typename Number>
std::optional<Number> parseNumber(const std::string &text)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<RelayDirection> parseDirection(const std::string &text)
{
    if (text == "up")
        return RelayDirection::Up;
    if (text == "down")
        return RelayDirection::Down;
    if (text == "both")
        return RelayDirection::Both;
    return std::nullopt;
}

std::vector<std::string> splitWords(const std::string &line)
{
    std::istringstream stream(line);
    return {std::istream_iterator<std::string>(stream), std::istream_iterator<std::string>()};
}

} // namespace

// One control connection; lives as long as its pending operation. The proxy must outlive the event
// loop's run.
class FaultProxy::ControlSession : public std::enable_shared_from_this<ControlSession>
{
public:
    ControlSession(FaultProxy &proxy, tcp::socket socket)
        : m_proxy(proxy)
        , m_socket(std::move(socket))
    { }

    void readCommand()
    {
        boost::asio::async_read_until(
            m_socket, m_input, '\n',
            [self = shared_from_this()](const error_code &error, std::size_t) {
                if (!error)
                    self->answer();
            });
    }

private:
    void answer()
    {
        std::istream stream(&m_input);
        std::string line;
        std::getline(stream, line);
        m_reply = m_proxy.execute(line) + "\n";
        boost::asio::async_write(m_socket, boost::asio::buffer(m_reply),
                                 [self = shared_from_this()](const error_code &error, std::size_t) {
                                     if (!error)
                                         self->readCommand();
                                 });
    }

    FaultProxy &m_proxy;
    tcp::socket m_socket;
    boost::asio::streambuf m_input{MaxCommandBytes};
    std::string m_reply;
};

FaultProxy::FaultProxy(boost::asio::io_context &context, unsigned short controlPort)
    : m_context(context)
    , m_acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), controlPort))
{
    accept();
}

void FaultProxy::accept()
{
    m_acceptor.async_accept([this](const error_code &error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (!error)
            std::make_shared<ControlSession>(*this, std::move(socket))->readCommand();
        accept();
    });
}

FaultRelay *FaultProxy::relay(const std::string &name) const
{
    const auto position = m_relays.find(name);
    return position == m_relays.end() ? nullptr : position->second.get();
}

std::string FaultProxy::execute(const std::string &command)
{
    const std::vector<std::string> words = splitWords(command);
    if (words.empty())
        return "error: empty command";
    if (words[0] == "list")
        return list();
    if (words.size() < 2)
        return "error: relay name missing";
    if (words[0] == "add")
        return add(words);
    if (words[1] != "*") {
        FaultRelay *const named = relay(words[1]);
        return named != nullptr ? apply(*named, words) : "error: no relay " + words[1];
    }
    for (const auto &[name, each] : m_relays) {
        std::string reply = apply(*each, words);
        if (reply != Ok)
            return reply;
    }
    return Ok;
}

std::string FaultProxy::add(const std::vector<std::string> &words)
{
    const auto listen = words.size() == 4 ? parseNumber<unsigned short>(words[2]) : std::nullopt;
    const auto target = words.size() == 4 ? parseNumber<unsigned short>(words[3]) : std::nullopt;
    if (!listen || !target)
        return "error: usage: add NAME LISTEN_PORT TARGET_PORT";
    if (words[1] == "*" || m_relays.contains(words[1]))
        return "error: the name is taken";
    try {
        const auto relay = FaultRelay::create(m_context, *listen, *target);
        m_relays.emplace(words[1], relay);
        return Ok + " " + std::to_string(relay->port());
    } catch (const boost::system::system_error &error) {
        return std::string("error: ") + error.what();
    }
}

std::string FaultProxy::list() const
{
    std::string reply = Ok;
    for (const auto &[name, relay] : m_relays)
        reply += " " + name + "=" + std::to_string(relay->port()) + "/"
            + std::to_string(relay->connections());
    return reply;
}

std::string FaultProxy::apply(FaultRelay &relay, const std::vector<std::string> &words)
{
    const std::string &command = words[0];
    const std::string argument = words.size() > 2 ? words[2] : std::string();
    if (command == "pass") {
        relay.pass();
    } else if (command == "cut") {
        relay.cut();
    } else if (command == "stall") {
        relay.stall();
    } else if (command == "reset") {
        relay.resetInFrame();
    } else if (command == "silence") {
        const auto direction = parseDirection(argument);
        if (!direction)
            return "error: direction must be up, down or both";
        relay.silence(*direction);
    } else if (command == "delay") {
        const auto time = parseNumber<unsigned>(argument);
        if (!time)
            return "error: delay must be a number of milliseconds";
        relay.delay(std::chrono::milliseconds(*time));
    } else if (command == "target") {
        const auto target = parseNumber<unsigned short>(argument);
        if (!target)
            return "error: target must be a port";
        relay.setTarget(*target);
    } else {
        return "error: unknown command " + command;
    }
    return Ok;
}

void FaultProxy::stop()
{
    error_code ignored;
    m_acceptor.close(ignored);
    for (const auto &[name, relay] : m_relays)
        relay->stop();
}

} // namespace Bluebellquay::Testing
