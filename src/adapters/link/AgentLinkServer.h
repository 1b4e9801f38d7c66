#pragma once

#include "adapters/link/BufferedRingWriter.h"
#include "adapters/link/FrameSplitter.h"
#include "adapters/net/SocketLoop.h"
#include "ports/AgentInterfaces.h"
#include "ports/EntryInterfaces.h"

#include <memory>
#include <mutex>

namespace teaselfold {

/** Agent side of the links from the entries. One thread serves all links. */
class AgentLinkServer final : public EntryLinks, private SocketHandler {
public:
    /** Identity, limits and collaborators of the server. The objects pointed to must outlive it. */
    struct Options {
        Address address;
        EndpointId endpoint;
        Incarnation incarnation;
        Ring<AgentEvent>* admissionRing { nullptr };
        Ring<AgentEvent>* callRing { nullptr };
        const DocumentCodec* codec { nullptr };
        Telemetry* telemetry { nullptr };
        /** A link without a frame for this long is closed. */
        Milliseconds idleTimeout { 5000 };
    };

    explicit AgentLinkServer(const Options& options);
    ~AgentLinkServer() override { this->stop(); }

    /** Binds the address and starts the link thread. @return false when the address could not be bound. */
    bool start();
    /** Closes all links and joins the thread. Idempotent. */
    void stop();
    /** @return the bound port, also when port 0 was requested. */
    std::uint16_t port() const { return this->loop.port(); }
    /** @return the traffic of all links. May be called on any thread. */
    LinkTraffic traffic() const { return this->loop.traffic(); }

    void send(const EntryId& entry, const AgentMessage& message) override;

private:
    struct SendCommand {
        EntryId entry;
        AgentMessage message;
    };
    struct Link {
        /** Empty until the EntryHello is received. */
        EntryId entry;
        Instant lastReceivedAt;
    };

    void connected(ConnectionId connection) override;
    bool received(ConnectionId connection, std::string_view frame) override;
    void closed(ConnectionId connection, const ConnectionClosure& closure) override;
    bool canReceive() override;
    void woken() override;
    void tick(Instant now) override;

    void dropOverflowedLinks();
    void handleSend(const SendCommand& command);
    bool acceptHello(ConnectionId connection, Link& link, const EntryMessage& message);
    void deliver(const EntryId& entry, EntryMessage message);
    void deliverToBoth(const AgentEvent& event);
    /** Closes a link, logs the reason and reports EntryLinkDown to the duties. */
    void dropLink(ConnectionId connection, std::string_view reason);
    void logLinkEvent(std::string name, const EntryId& entry, std::string_view reason);

    Options options;
    FrameCodec frameCodec;
    BufferedRingWriter<AgentEvent> admissionWriter;
    BufferedRingWriter<AgentEvent> callWriter;
    Ring<SendCommand> commands;
    std::mutex overflowMutex;
    /** Entries with a command that did not fit into the ring; their links are closed. */
    std::set<EntryId> overflowedEntries;
    std::map<ConnectionId, Link> links;
    std::map<EntryId, ConnectionId> connectionOf;
    /** Connections that have not sent a hello. */
    std::set<ConnectionId> unknownLinks;
    SocketLoop loop { linkLoopOptions() };
};

/** Builds an AgentLinkServer. Codec and telemetry are required. Requests for a duty without a ring are rejected. */
class AgentLinkServerBuilder {
public:
    AgentLinkServerBuilder& withAddress(Address address);
    AgentLinkServerBuilder& withEndpoint(EndpointId endpoint);
    AgentLinkServerBuilder& withIncarnation(Incarnation incarnation);
    AgentLinkServerBuilder& withAdmissionRing(Ring<AgentEvent>& ring);
    AgentLinkServerBuilder& withCallRing(Ring<AgentEvent>& ring);
    AgentLinkServerBuilder& withCodec(const DocumentCodec& codec);
    AgentLinkServerBuilder& withTelemetry(Telemetry& telemetry);
    /** @param timeout time without a frame after which a link is closed. */
    AgentLinkServerBuilder& withIdleTimeout(Milliseconds timeout);
    std::unique_ptr<AgentLinkServer> build() const;

private:
    AgentLinkServer::Options options;
};

}
