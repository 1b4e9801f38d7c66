#pragma once

#include "core/gateway/Gateway.h"
#include "emulator/SeededRandomness.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teaselfold {

/** What is wrong with a version: the part of its answers that are bad, and when. */
struct VersionFault {
    double failedPart { 0 };
    double slowPart { 0 };
    /** Times an answer takes as long when it is slow. */
    double slowFactor { 4 };
    /** Since the order. */
    Milliseconds begins { 0 };
    /** Requests in progress at an endpoint from which its answers are bad. */
    std::uint32_t minLoad { 0 };
    /** Beginning of the paths whose answers are bad; all if empty. */
    std::string path;
};

/**
 * Several gateways that roll out a new version of a plain service, in simulated time, with the datagrams between them
 * and a store that keeps the roll-out's record under the conditions of its writes.
 */
class RolloutFleet {
public:
    struct Options {
        std::size_t gateways { 5 };
        /** Of each version. */
        std::size_t endpoints { 7 };
        double requestsPerSecond { 130 };
        Milliseconds duration { 12000 };
        VersionFault newVersion {};
        /** Trouble of the old version. */
        VersionFault oldVersion {};
        /** Endpoints of the new version that fail nearly half of their requests, whatever the version. */
        std::size_t greyEndpoints { 0 };
        std::uint64_t seed { 1 };
        /** Part of the datagrams that are lost. */
        double loss { 0 };
        /** The new version's endpoints register. */
        bool startsEndpoints { true };
    };

    explicit RolloutFleet(Options options);

    void advance(Milliseconds time);
    /** Advances to a time since the order. */
    void advanceTo(Milliseconds sinceOrder) { this->advance(sinceOrder + this->orderedAt - this->time); }
    /** Advances until two seconds after the deadline. */
    void finish() { this->advanceTo(this->options.duration + Milliseconds(2000)); }

    /** The operator writes the order, and the new endpoints start a moment later. */
    void order();
    /** Writes any list of orders. */
    void setOrders(RolloutOrdersRead orders);
    /** Ends a gateway's process without notice. */
    void kill(std::size_t gateway) { this->nodes[gateway].gateway.reset(); }
    void restart(std::size_t gateway);
    void setStoreDown(bool isDown) { this->isStoreDown = isDown; }
    /** Performs writes and loses their answers. */
    void setLosesAnswers(bool loses) { this->losesAnswers = loses; }
    /** Cuts a gateway off from the others, but not from the store. */
    void isolate(std::size_t gateway) { this->nodes[gateway].isIsolated = true; }
    /** Called before a write is performed; a gateway that is killed in it has sent the write. */
    void onWrite(std::function<void(std::size_t gateway, const WriteRollout&)> hook)
    {
        this->writeHook = std::move(hook);
    }

    /** A change of the state that the operator reads. */
    struct StateChange {
        Milliseconds sinceOrder { 0 };
        RolloutState state { RolloutState::InProgress };
    };
    const std::vector<StateChange>& states() const { return this->stateChanges; }
    /** @return the last state; unset before the first. */
    std::optional<RolloutState> state() const;
    std::optional<SoftwareVersion> stateTarget() const;

    /** @return the requests that reached the service between the order and the deadline. */
    std::size_t requests() const { return this->sentTotal; }
    /** @return those of them that reached the new version. */
    std::size_t requestsToNew() const { return this->sentToNew; }
    /** @return the most that a bad version may have got. */
    double exposureLimit() const;
    /** @return the time from the new version's fiftieth bad answer to the last request to it; zero without. */
    Milliseconds longestRollback() const;
    /** @return requests that reached a version long after the state excluded it. */
    std::size_t misrouted() const { return this->misroutedRequests; }
    /** @return requests in progress at the old version when it was stopped. */
    std::size_t cutByCompletion() const { return this->cutRequests; }
    std::size_t storeCalls() const { return this->calls; }
    std::size_t refused() const { return this->refusedRequests; }
    /** @return the bytes of all datagrams between the gateways, with their IP and UDP headers. */
    std::size_t gossipBytes() const { return this->sentBytes; }

private:
    struct Node {
        GatewayIdentity identity;
        Address address;
        std::unique_ptr<Gateway> gateway;
        bool isIsolated { false };
    };
    struct Endpoint {
        EndpointRecord record;
        bool isNew { false };
        bool isGrey { false };
        bool isStopped { false };
        std::uint32_t inFlight { 0 };
    };
    struct Run {
        std::size_t node { 0 };
        ExchangeId exchange;
        EndpointId endpoint;
        Milliseconds endsAt { 0 };
        bool isFailed { false };
        bool isBad { false };
    };
    struct Message {
        Milliseconds dueAt { 0 };
        std::size_t receiver { 0 };
        GatewayEvent event;
    };

    Instant instant() const { return Instant(Seconds(1000) + this->time); }
    Milliseconds sinceOrder() const { return this->time - this->orderedAt; }
    double draw();
    void startGateway(std::size_t node);
    void registerEndpoints();
    std::vector<EndpointRecord> records() const;
    void tellAll(const GatewayEvent& event);
    void tell(std::size_t node, GatewayEvent event, Milliseconds delay);
    void handle(std::size_t node, const GatewayEvent& event);
    void execute(std::size_t node, const GatewayActions& actions);
    void startRun(std::size_t node, const ExchangeParameters& parameters);
    void endRuns();
    void sendRequest();
    void readStore(std::size_t node);
    void writeStore(std::size_t node, const WriteRollout& write);
    void changeState(const RolloutRecord& record);
    void sendDatagrams(std::size_t node, const SendGossip& gossip);
    void step();
    bool applies(const VersionFault& fault, const std::string& path, const Endpoint& endpoint) const;

    Options options;
    SeededRandomness randomness;
    Milliseconds time { 0 };
    Milliseconds orderedAt { 0 };
    bool isOrdered { false };
    RolloutOrdersRead orders;
    std::vector<Node> nodes;
    std::map<EndpointId, Endpoint> endpoints;
    std::map<RequestId, std::string> paths;
    std::vector<Run> runs;
    std::deque<Message> messages;
    std::optional<StoredRollout> row;
    std::uint64_t storeVersion { 10 };
    bool isStoreDown { false };
    bool losesAnswers { false };
    std::function<void(std::size_t, const WriteRollout&)> writeHook;
    std::vector<StateChange> stateChanges;
    Milliseconds newEndpointsStopAt { Milliseconds::max() };
    std::uint64_t lastRequest { 0 };
    double dueRequests { 0 };
    std::size_t sentTotal { 0 };
    std::size_t sentToNew { 0 };
    std::vector<Milliseconds> badAnswers;
    Milliseconds lastSentToNew { 0 };
    std::size_t misroutedRequests { 0 };
    std::size_t cutRequests { 0 };
    std::size_t refusedRequests { 0 };
    std::size_t calls { 0 };
    std::size_t sentBytes { 0 };
};

}
