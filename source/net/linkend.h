// Why a link to a peer ended.
#pragma once

#include <cstdint>
#include <string_view>

namespace Bluebellquay {

enum class LinkEnd : std::uint8_t {
    // Told by the transport.
    ConnectFailed,   // no TCP connection, or the address can't be used
    UpgradeRejected, // the peer refused the upgrade request, for example because of the secret
    WrongSecret,     // this process refused the upgrade request
    ProtocolError,   // broken HTTP or WebSocket framing, or a frame that is not binary
    FrameTooLarge,
    PeerClosed, // closing handshake by the peer
    Lost,       // the connection was reset or ended without a closing handshake
    // Decided by this process.
    HandshakeTimeout, // no connection, upgrade or Hello in time
    Silent,
    FrameRejected, // the codec rejected a frame; counted by reason separately
    SequenceGap,
    NoHello, // the first message was not a Hello, or a later one was
    SelfLink,
    Replaced,  // a newer link to the same incarnation is up
    Duplicate, // an existing link to the same incarnation is newer
    UnsentLimit,
    HandshakeLimit, // too many accepted connections have not introduced themselves
    Restarted,      // the peer has started since the connection was begun
    Forgotten,
    Stopping,
};
constexpr std::size_t LinkEnds = 20;

// Snake-case name as used in logs and metric labels, for example "handshake_timeout".
std::string_view toString(LinkEnd end);

} // namespace Bluebellquay
