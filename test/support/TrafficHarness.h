#pragma once

#include "adapters/traffic/TrafficServer.h"
#include "platform/PlatformTrafficCodec.h"
#include "support/GatewayScenario.h"
#include "support/LinkFakes.h"

#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace teaselfold {

/** A gateway's traffic duty on real sockets, with the sample configuration of GatewayScenario and one endpoint. */
class TrafficHarness {
public:
    /** @param endpoint address of the endpoint that serves all routes. */
    explicit TrafficHarness(
        const Address& endpoint, const CallerBudgetLimits& callerLimits = TrafficOptions().callerLimits);
    ~TrafficHarness() { this->server->stop(); }
    TrafficHarness(const TrafficHarness&) = delete;
    TrafficHarness& operator=(const TrafficHarness&) = delete;

    /** Adds or changes an endpoint beside the one given to the constructor. */
    void changeEndpoint(const EndpointRecord& endpoint);
    /** Asks the gateway to stop now. */
    void requestStop();
    /** @return the address for callers. */
    const Address& callerAddress() const { return this->callers; }
    /** @return a new connection of a caller. */
    Poco::Net::StreamSocket connect() const;
    /** Sends a request on the connection. @param id the caller's id of the request. */
    static void sendRequest(Poco::Net::StreamSocket& socket, const std::string& path, const std::string& id);
    /** @return the next response with a declared length; what was received if the connection closed before its end. */
    static std::string readResponse(Poco::Net::StreamSocket& socket);
    /** @return the next response in chunks up to its last chunk; what was received if the connection closed before it.
     */
    static std::string readChunkedResponse(Poco::Net::StreamSocket& socket);
    /** @return everything up to the end of the connection. */
    static std::string readUntilClosed(Poco::Net::StreamSocket& socket);

    /** @return the number of log events of the name. */
    std::size_t loggedCount(const std::string& event) const;
    /** @return the field of the last log event of the name; empty if there is none. */
    std::string loggedField(const std::string& event, const std::string& key) const;

private:
    /** Keeps the log events. */
    class RecordingTelemetry final : public Telemetry {
    public:
        void log(const LogEvent& event) override;
        void observe(const Observation&) override { }
        std::vector<LogEvent> recorded() const;

    private:
        mutable std::mutex mutex;
        std::vector<LogEvent> events;
    };
    struct NoPeers final : Peers {
        void send(const SendGossip&) override { }
        void send(const SendReading&) override { }
    };
    struct NoStore final : StoreReads {
        void read(const ReadStore&) override { }
    };
    struct NoRollouts final : RolloutStore {
        void read(const ReadRollouts&) override { }
        void write(const WriteRollout&) override { }
    };

    SeededRandomness randomness { 1 };
    RecordingTelemetry telemetry;
    NoPeers peers;
    NoStore store;
    NoRollouts rollouts;
    PlatformTrafficCodec codec;
    Gateway gateway;
    Address callers;
    std::unique_ptr<TrafficServer> server;
};

}
