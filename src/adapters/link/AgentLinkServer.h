#pragma once

#include "adapters/link/EventOutlet.h"
#include "adapters/link/FrameSplitter.h"
#include "adapters/net/SocketLoop.h"
#include "ports/AgentInterfaces.h"
#include "ports/EntryInterfaces.h"

#include <memory>
#include <mutex>

namespace teaselfold {

/** The agent's end of the links from the entries: one thread for all links. */
class AgentLinkServer final : public EntryLinks, private SocketHandler {
public:
    /** What the server is built from. References and pointers must outlive it. */
    struct Parts {
        Address address;
        EndpointId endpoint;
        Incarnation incarnation;
        Ring<AgentEvent>* admissionRing { nullptr };
        Ring<AgentEvent>* callRing { nullptr };
        const DocumentCodec* codec { nullptr };
        Telemetry* telemetry { nullptr };
        Milliseconds idleLimit { 5000 };
    };

    explicit AgentLinkServer(const Parts& parts);
    ~AgentLinkServer() override { this->stop(); }

    /** Binds the address and starts the link thread. @return false when the address cannot be bound. */
    bool start();
    /** Closes all links and joins the thread. Idempotent. */
    void stop();
    /** @return the port in use, also when port 0 was asked for. */
    std::uint16_t port() const { return this->loop.port(); }
    /** @return what went over all links. From any thread. */
    LinkTraffic traffic() const { return this->loop.traffic(); }

    void send(const EntryId& entry, const AgentMessage& message) override;

private:
    struct SendCommand {
        EntryId entry;
        AgentMessage message;
    };
    struct Link {
        /** Empty until the EntryHello came. */
        EntryId entry;
        Instant heardAt;
    };

    void connected(ConnectionId connection) override;
    bool received(ConnectionId connection, std::string_view frame) override;
    void closed(ConnectionId connection, std::string_view reason) override;
    bool canReceive() override;
    void woken() override;
    void tick(Instant now) override;

    void dropOverflowed();
    void handleSend(const SendCommand& command);
    bool acceptHello(ConnectionId connection, Link& link, const EntryMessage& message);
    void deliver(const EntryId& entry, EntryMessage message);
    void deliverBoth(const AgentEvent& event);
    void lose(ConnectionId connection, std::string_view reason);
    void logLink(std::string name, const EntryId& entry, std::string_view reason);

    Parts parts;
    FrameCodec frames;
    EventOutlet<AgentEvent> admission;
    EventOutlet<AgentEvent> calls;
    Ring<SendCommand> commands;
    std::mutex overflowMutex;
    std::set<EntryId> overflowed;
    std::map<ConnectionId, Link> links;
    std::map<EntryId, ConnectionId> connectionOf;
    SocketLoop loop { linkLoopOptions() };
};

/** Builds an AgentLinkServer. Codec and telemetry are required; a ring that is not set gets nothing. */
class AgentLinkServerBuilder {
public:
    AgentLinkServerBuilder& withAddress(Address address);
    AgentLinkServerBuilder& withEndpoint(EndpointId endpoint);
    AgentLinkServerBuilder& withIncarnation(Incarnation incarnation);
    AgentLinkServerBuilder& withAdmissionRing(Ring<AgentEvent>& ring);
    AgentLinkServerBuilder& withCallRing(Ring<AgentEvent>& ring);
    AgentLinkServerBuilder& withCodec(const DocumentCodec& codec);
    AgentLinkServerBuilder& withTelemetry(Telemetry& telemetry);
    /** @param limit a link on which nothing came for so long is closed. */
    AgentLinkServerBuilder& withIdleLimit(Milliseconds limit);
    std::unique_ptr<AgentLinkServer> build() const;

private:
    AgentLinkServer::Parts parts;
};

}
