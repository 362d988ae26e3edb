#include "net/linkend.h"

namespace Bluebellquay {

namespace {

constexpr std::string_view Names[] = {
    "connect_failed",  "upgrade_rejected", "wrong_secret", "protocol_error",
    "frame_too_large", "peer_closed",      "lost",         "handshake_timeout",
    "silent",          "frame_rejected",   "sequence_gap", "no_hello",
    "self_link",       "replaced",         "duplicate",    "unsent_limit",
    "handshake_limit", "restarted",        "forgotten",    "stopping",
};
static_assert(std::size(Names) == LinkEnds);
static_assert(LinkEnds == static_cast<std::size_t>(LinkEnd::Stopping) + 1);

} // namespace

std::string_view toString(LinkEnd end)
{
    return Names[static_cast<std::size_t>(end)];
}

} // namespace Bluebellquay
