#pragma once

#include "core/gateway/Gateway.h"
#include "emulator/SeededRandomness.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teaselfold {

/** A size of a fleet, the requests per second before it, and the platform's limit on the time to react. */
struct FleetSize {
    std::size_t gateways { 0 };
    std::size_t endpoints { 0 };
    double requestsPerSecond { 0 };
    Milliseconds reactionTime { 0 };
};

inline constexpr std::array fleetSizes { FleetSize { 5, 14, 13, Milliseconds(3000) },
    FleetSize { 26, 47, 45, Milliseconds(4000) }, FleetSize { 68, 59, 54, Milliseconds(5000) } };

/**
 * Several gateways before endpoints that crash, in simulated time, with the datagrams between the gateways. An endpoint
 * crashes when it is about to answer a deadly request or one with a deadly prompt part, and is back after a while.
 */
class EngineFleet {
public:
    struct Options {
        std::size_t gateways { 5 };
        std::size_t engines { 14 };
        std::uint64_t seed { 1 };
        /** Share of the datagrams that are lost, from 0 to 1. */
        double loss { 0 };
        /** Path of the requests: "/draft/1" for streams of engines, "/read/1" or "/write/1" for plain endpoints. */
        std::string path { "/draft/1" };
        /** Streams end with their connections, and crashes come after the first event. */
        bool isUnframed { false };
    };

    explicit EngineFleet(Options options);

    void advance(Milliseconds time);
    Milliseconds now() const { return this->time; }

    /** Sends a request with these shared prompt parts to a gateway chosen at random among those that run. */
    void send(const std::vector<PromptPartId>& parts);
    void sendTo(std::size_t gateway, const std::vector<PromptPartId>& parts);
    /** Sends a request with these shared prompt parts that crashes every endpoint at which it is about to begin. */
    void sendDeadly(Fingerprint fingerprint, const std::vector<PromptPartId>& parts);
    /** Sends a sound request that may have been sent before. */
    void sendAgain(Fingerprint fingerprint, const std::vector<PromptPartId>& parts);
    /** Makes every engine crash that is about to send the first event of a request with the part. */
    void setDeadlyPart(PromptPartId part) { this->deadlyPart = part; }
    /** Crashes a share of the engines now, whatever they run. */
    void crashEngines(double share);
    /** Makes a number of engines break every run when it is about to send its first event, but go on. */
    void makeGrey(std::size_t engines);
    /** Breaks single connections of engines at random. @param share of the responses that break at a random event. */
    void setBrokenShare(double share) { this->brokenShare = share; }
    /** Ends a gateway's process without notice and starts a new one. */
    void restartGateway(std::size_t gateway);
    /** Suspends a gateway's process; datagrams to it wait, and are received together when it goes on. */
    void suspendGateway(std::size_t gateway) { this->nodes[gateway].isSuspended = true; }
    void continueGateway(std::size_t gateway);

    /** @return the times at which engines crashed under the deadly part. */
    const std::vector<Milliseconds>& crashes() const { return this->crashTimes; }
    /** @return the times at which requests with the deadly part were sent to engines. */
    const std::vector<Milliseconds>& deadlyArrivals() const { return this->deadlyArrivalTimes; }
    /** @return the times at which endpoints crashed under a deadly request. */
    const std::vector<Milliseconds>& crashesOf(Fingerprint deadly) { return this->deadlyRequests[deadly].crashes; }
    /** @return the times at which a deadly request was sent to endpoints that accepted its connection. */
    const std::vector<Milliseconds>& arrivalsOf(Fingerprint deadly) { return this->deadlyRequests[deadly].arrivals; }

    /** What became of the requests that were sent in a span of time. */
    struct Outcome {
        std::size_t sent { 0 };
        std::size_t quarantined { 0 };
        std::size_t completed { 0 };
    };
    /** @return the outcome of the requests without the deadly part that were sent in [from, to) and have the part. */
    Outcome outcomeOf(PromptPartId part, Milliseconds from, Milliseconds to) const;
    /** @return the outcome of all requests without the deadly part. */
    Outcome outcome() const;

private:
    struct Request {
        std::vector<PromptPartId> parts;
        Fingerprint fingerprint;
        Milliseconds sentAt { 0 };
        bool isQuarantined { false };
        bool isCompleted { false };
    };
    struct Node {
        GatewayIdentity identity;
        Address address;
        std::unique_ptr<Gateway> gateway;
        std::map<RequestId, std::size_t> requests;
        bool isSuspended { false };
        std::vector<GossipMessage> waitingDatagrams;
    };
    struct Run {
        std::size_t node { 0 };
        ExchangeId exchange;
        std::size_t request { 0 };
        EndpointId engine;
        Milliseconds nextEventAt { 0 };
        std::uint64_t lastEvent { 0 };
        std::uint64_t events { 0 };
    };
    struct DeadlyRequest {
        std::vector<Milliseconds> crashes;
        std::vector<Milliseconds> arrivals;
    };
    struct Datagram {
        Milliseconds dueAt { 0 };
        std::size_t receiver { 0 };
        GossipMessage message;
    };
    struct Engine {
        EndpointRecord record;
        Milliseconds backAt { 0 };
        bool isGrey { false };
    };

    Instant instant() const { return Instant(Seconds(1000) + this->time); }
    bool isDeadly(const Request& request) const;
    bool sendsStreams() const { return this->options.path == "/draft/1"; }
    double draw();
    void startGateway(Node& node);
    void introduce(Node& node);
    void handle(std::size_t node, const GatewayEvent& event);
    void execute(std::size_t node, const GatewayActions& actions);
    void startRun(std::size_t node, const ExchangeParameters& parameters);
    void sendRequest(std::size_t node, Fingerprint fingerprint, const std::vector<PromptPartId>& parts);
    /** @return a gateway that is not suspended. */
    std::size_t randomGateway();
    /** Answers a call that stops a run whose connection broke: no engine runs it any more. */
    void answerStopCall(std::size_t node, const StartMigration& call);
    /** Answers a probe: an engine that is down refuses the connection. */
    void answerProbe(std::size_t node, const ProbeEndpoint& probe);
    void sendDatagrams(const SendGossip& gossip);
    void step();
    void advanceRun(std::size_t run);
    void endRun(std::size_t run, ExchangeEnd end);
    void crash(const EndpointId& engine);
    /** Sends the first event of a run, so that the crash that follows looks like the end of its stream. */
    void sendFirstEvent(const Run& run);

    Options options;
    SeededRandomness randomness;
    Milliseconds time { 0 };
    std::vector<Node> nodes;
    std::map<EndpointId, Engine> engines;
    std::vector<Request> requests;
    std::vector<Run> runs;
    std::deque<Datagram> datagrams;
    std::optional<PromptPartId> deadlyPart;
    double brokenShare { 0 };
    std::uint64_t lastRequest { 0 };
    std::vector<Milliseconds> crashTimes;
    std::vector<Milliseconds> deadlyArrivalTimes;
    std::map<Fingerprint, DeadlyRequest> deadlyRequests;
};

}
