// Spreads the list of evacuated data centres: a process that reads the store, or hears a newer list
// from a peer, passes it on to all other linked processes, and tells each new peer what it knows.
// Processes that don't read the store, and those that are cut off from it, learn the list that way.
#pragma once

#include "base/messages.h"
#include "core/evacuations.h"

#include <functional>
#include <set>
#include <string_view>

namespace Bluebellquay {

class EvacuationRelay
{
public:
    // Called after a newer list was taken.
    using Handler = std::function<void(const Evacuations &evacuations)>;
    using Sender = std::function<void(Incarnation to, const Message &message)>;

    EvacuationRelay(Handler handler, Sender sender)
        : m_handler(std::move(handler))
        , m_sender(std::move(sender))
    { }

    void offerFromStore(const EvacuationNotice &notice) { offer(notice, Incarnation(), "store"); }
    void offerFromPeer(Incarnation peer, const EvacuationNotice &notice)
    {
        offer(notice, peer, "peer");
    }
    // The peer is told the list before anything else is sent to it.
    void peerUp(Incarnation peer);
    void peerDown(Incarnation peer) { m_peers.erase(peer); }

    const Evacuations &evacuations() const { return m_evacuations; }

private:
    void offer(const EvacuationNotice &notice, Incarnation from, std::string_view source);

    Handler m_handler;
    Sender m_sender;
    Evacuations m_evacuations;
    std::set<Incarnation> m_peers;
};

} // namespace Bluebellquay
