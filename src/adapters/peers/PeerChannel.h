#pragma once

#include "adapters/net/WakeChannel.h"
#include "ports/GatewayMessages.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>

#include <atomic>
#include <functional>
#include <optional>
#include <thread>

namespace teaselfold {

/**
 * Exchanges gossip and store readings with the other gateways over UDP; the peers duty receives them. A lost datagram
 * is harmless, because later ones carry the full state again.
 */
class PeerChannel final : public Peers {
public:
    /** @param listen local address. @param sink receives the messages of other gateways; called on the peers duty. */
    PeerChannel(Address listen, std::function<void(GatewayEvent)> sink);
    ~PeerChannel() override { this->stop(); }
    PeerChannel(const PeerChannel&) = delete;
    PeerChannel& operator=(const PeerChannel&) = delete;

    /** Binds the socket and starts the thread. @return the error when the address cannot be bound. */
    std::optional<std::string> start();
    /** Joins the thread. Idempotent. */
    void stop();
    /** Sends without blocking: a datagram that cannot be sent immediately is dropped. */
    void send(const SendGossip& message) override;
    void send(const SendReading& message) override;

private:
    void run();
    void receiveAll();
    void receive(std::string_view datagram);
    void sendDatagram(const std::string& datagram, const std::vector<Address>& receivers);

    Address address;
    std::function<void(GatewayEvent)> sink;
    Poco::Net::DatagramSocket socket;
    Poco::Net::PollSet pollSet;
    WakeChannel wakeUps;
    std::atomic<bool> stopping { false };
    std::thread thread;
};

}
