// Private part of ConnectServer: one connection. Reads a request, calls its handler, writes the
// answer, and goes on with bytes that arrived in the meantime.
#pragma once

#include "net/connectlistener.h"
#include "net/connectmessage.h"
#include "net/connectrequest.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Bluebellquay {

class ConnectServer::Session : public std::enable_shared_from_this<ConnectServer::Session>
{
public:
    using Clock = Listener::Clock;

    // A session that rejects answers its first request with unavailable and ends.
    Session(std::shared_ptr<Listener> listener, ServerSocket socket, bool reject);

    void start();
    void close();
    // Ends the connection now if no request is in progress, else after its answer.
    void closeIfIdle();
    bool expired(Clock::time_point now) const { return now >= m_deadline; }
    // Whether the peer has closed the connection while its call is in progress.
    bool callerLeft();
    // Closes the connection and tells the handler of the call in progress.
    void abandonCall();

private:
    enum class State : std::uint8_t {
        Idle, // no byte of the next request has arrived
        Reading,
        Calling, // the handler has not completed
        Writing,
        Draining, // discards what the peer still sends, so that it can read the last answer
        Closed,
    };
    // Completion of one call. Answers with internal if it is destroyed without being called.
    class Completion;

    void beginRequest();
    void read();
    void onRead(const boost::system::error_code &error, std::size_t size);
    // Parses what is buffered; ends in a call, an answer or another read.
    void parse();
    void sendContinue();
    void rejectMalformed(const boost::system::error_code &error);
    void dispatch();
    void dispatchGet(std::string_view path);
    void dispatchCall(std::string_view path);
    void invoke(const Method &method, const CallContext &context);
    void complete(std::uint64_t call, const google::protobuf::Message *response,
                  const ConnectError &error);

    void answerMessage(const google::protobuf::Message &response);
    void answerError(const ConnectError &error);
    void answerError(const ConnectError &error, unsigned status);
    void answer(unsigned status, std::string_view contentType, std::string_view body,
                std::string_view extraHeaders = {});
    void appendHead(unsigned status, std::string_view contentType, std::size_t bodySize,
                    std::string_view extraHeaders = {});
    void write();
    void onWritten(const boost::system::error_code &error);
    void drain();

    std::shared_ptr<Listener> m_listener;
    ServerSocket m_socket;
    boost::beast::flat_buffer m_buffer;
    ConnectRequest m_request;
    // One for each request; a Beast parser can't be reset.
    std::optional<ConnectRequestParser> m_parser;
    std::string m_out;
    Clock::time_point m_deadline;
    // Number of the call in progress; a completion of another call is ignored.
    std::uint64_t m_call = 0;
    // Set by the handler of the call in progress, if it wants to know.
    std::function<void()> m_callerLeft;
    std::size_t m_drained = 0;
    State m_state = State::Idle;
    ConnectEncoding m_encoding = ConnectEncoding::Proto;
    bool m_reject;
    bool m_closeAfterAnswer = false;
    bool m_continueSent = false;
};

} // namespace Bluebellquay
