#pragma once

#include "ports/PeerInterfaces.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>

#include <atomic>
#include <functional>
#include <optional>
#include <thread>

namespace teaselfold {

/** Carries news between gateways by datagrams; the peers duty receives. Losing one is harmless: the next says it all.
 */
class PeerChannel final : public Peers {
public:
    /** @param sink takes what was heard; called on the peers duty. */
    PeerChannel(Address listen, std::function<void(GossipMessage)> sink);
    ~PeerChannel() override { this->stop(); }
    PeerChannel(const PeerChannel&) = delete;
    PeerChannel& operator=(const PeerChannel&) = delete;

    /** @return the reason when the address is taken. */
    std::optional<std::string> start();
    /** Joins the thread. Idempotent. */
    void stop();
    /** Sends at once: a datagram that cannot be sent without waiting is lost. */
    void send(const SendGossip& message) override;

private:
    void run();
    void receiveAll();

    Address address;
    std::function<void(GossipMessage)> sink;
    Poco::Net::DatagramSocket socket;
    Poco::Net::PollSet pollSet;

    std::atomic<bool> stopping { false };
    std::thread thread;
};

}
