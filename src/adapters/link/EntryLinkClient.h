#pragma once

#include "adapters/link/EventOutlet.h"
#include "adapters/link/FrameSplitter.h"
#include "adapters/net/SocketLoop.h"
#include "core/common/HandlerTable.h"
#include "ports/EntryInterfaces.h"

#include <memory>
#include <mutex>

namespace teaselfold {

/** The entry's end of the links to the agents: one thread for all links. Reconnecting is the router's decision. */
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

    /** @return what went over all links. From any thread. */
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
        bool up { false };
        Instant helloBy;
    };

    void connected(ConnectionId connection) override;
    bool received(ConnectionId connection, std::string_view frame) override;
    void closed(ConnectionId connection, std::string_view reason) override;
    bool canReceive() override;
    void woken() override;
    void tick(Instant now) override;

    void queue(const EndpointId& endpoint, Command command);
    void dropOverflowed();
    void handleSend(const SendCommand& command);
    void handleOpen(const OpenCommand& command);
    void handleClose(const CloseCommand& command);
    bool acceptHello(const EndpointId& endpoint, Link& link, const AgentMessage& message);
    void refuseTooLarge(const SendCommand& command);
    void forget(const EndpointId& endpoint);
    void lose(const EndpointId& endpoint, std::string_view reason);

    EntryId self;
    FrameCodec frames;
    Telemetry& telemetry;
    Milliseconds connectTimeout;
    EventOutlet<RouterEvent> outlet;
    Ring<Command> commands;
    std::mutex overflowMutex;
    std::set<EndpointId> overflowed;
    std::map<EndpointId, Link> links;
    std::map<ConnectionId, EndpointId> endpoints;
    SocketLoop loop { linkLoopOptions() };
};

/** Builds an EntryLinkClient; self, ring, codec and telemetry are required and must outlive it. */
class EntryLinkClientBuilder {
public:
    EntryLinkClientBuilder& withSelf(EntryId self);
    EntryLinkClientBuilder& withRouterRing(Ring<RouterEvent>& ring);
    EntryLinkClientBuilder& withCodec(const DocumentCodec& codec);
    EntryLinkClientBuilder& withTelemetry(Telemetry& telemetry);
    /** @param timeout for the connection, and again for the agent's hello. */
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
