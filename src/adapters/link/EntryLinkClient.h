#pragma once

#include "adapters/link/BufferedRingWriter.h"
#include "adapters/link/FrameSplitter.h"
#include "adapters/net/SocketLoop.h"
#include "core/common/HandlerTable.h"
#include "ports/EntryInterfaces.h"

#include <memory>
#include <mutex>

namespace teaselfold {

/** Entry side of the links to the agents. One thread serves all links. The router decides when to reconnect. */
class EntryLinkClient final : public AgentLinks, private SocketHandler {
public:
    EntryLinkClient(EntryId self, Ring<RouterEvent>& routerRing, const DocumentCodec& codec, Telemetry& telemetry,
        Milliseconds connectTimeout);
    ~EntryLinkClient() override { this->stop(); }

    /** Starts the link thread. */
    void start() { this->loop.start(*this); }
    /** Closes all links and joins the thread. Idempotent. */
    void stop();

    void send(const EndpointId& endpoint, const EntryMessage& message) override;
    void open(const EndpointId& endpoint, const Address& address) override;
    void close(const EndpointId& endpoint) override;

    /** @return the traffic of all links. May be called on any thread. */
    LinkTraffic traffic() const { return this->loop.traffic(); }

private:
    struct SendCommand {
        EndpointId endpoint;
        EntryMessage message;
    };
    struct OpenCommand {
        EndpointId endpoint;
        Address address;
    };
    struct CloseCommand {
        EndpointId endpoint;
    };
    using Command = std::variant<SendCommand, OpenCommand, CloseCommand>;

    struct Link {
        ConnectionId connection;
        /** True once the agent's hello is accepted. */
        bool up { false };
        Instant helloDeadline;
    };

    void connected(ConnectionId connection) override;
    bool received(ConnectionId connection, std::string_view frame) override;
    void closed(ConnectionId connection, const ConnectionClosure& closure) override;
    bool canReceive() override;
    void woken() override;
    void tick(Instant now) override;

    void enqueue(const EndpointId& endpoint, Command command);
    void dropOverflowedLinks();
    void handleSend(const SendCommand& command);
    void handleOpen(const OpenCommand& command);
    void handleClose(const CloseCommand& command);
    bool acceptHello(const EndpointId& endpoint, Link& link, const AgentMessage& message);
    void rejectTooLarge(const SendCommand& command);
    /** Closes a link without an event to the router. */
    void removeLink(const EndpointId& endpoint);
    /** Closes a link, logs the reason and reports LinkDown to the router. */
    void dropLink(const EndpointId& endpoint, std::string_view reason);

    EntryId self;
    FrameCodec frameCodec;
    Telemetry& telemetry;
    Milliseconds connectTimeout;
    BufferedRingWriter<RouterEvent> routerWriter;
    Ring<Command> commands;
    std::mutex overflowMutex;
    /** Endpoints with a command that did not fit into the ring; their links are closed. */
    std::set<EndpointId> overflowedEndpoints;
    std::map<EndpointId, Link> links;
    std::map<ConnectionId, EndpointId> endpointOf;
    SocketLoop loop { linkLoopOptions() };
};

/** Builds an EntryLinkClient. Self, ring, codec and telemetry are required; the last three must outlive the client. */
class EntryLinkClientBuilder {
public:
    EntryLinkClientBuilder& withSelf(EntryId self);
    EntryLinkClientBuilder& withRouterRing(Ring<RouterEvent>& ring);
    EntryLinkClientBuilder& withCodec(const DocumentCodec& codec);
    EntryLinkClientBuilder& withTelemetry(Telemetry& telemetry);
    /** @param timeout limit of the connection attempt, and separately of the wait for the agent's hello. */
    EntryLinkClientBuilder& withConnectTimeout(Milliseconds timeout);
    std::unique_ptr<EntryLinkClient> build() const;

private:
    EntryId self;
    Ring<RouterEvent>* routerRing { nullptr };
    const DocumentCodec* codec { nullptr };
    Telemetry* telemetry { nullptr };
    Milliseconds connectTimeout { 1000 };
};

}
