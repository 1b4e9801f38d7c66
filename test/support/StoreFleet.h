#pragma once

#include "core/gateway/Gateway.h"
#include "emulator/SeededRandomness.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teaselfold {

/**
 * Several gateways, the store and the datagrams between them, in simulated time. Each gateway has a clock of its own.
 * Faults are switched on and off by the test: a gateway that is paused, cut off from the store or restarted, a store
 * that is down, and lost or delayed datagrams.
 */
class StoreFleet {
    struct Row {
        std::uint64_t version { 0 };
        std::optional<EndpointRecord> record;
    };

public:
    struct Options {
        /** Zone of each gateway. */
        std::vector<std::string> zones;
        std::uint64_t seed { 1 };
        GatewayLimits limits {};
    };

    explicit StoreFleet(Options options);

    /** Advances the time of all gateways that are not paused, and of the store. */
    void advance(Milliseconds time);
    Milliseconds now() const { return this->time; }

    // The operators' and the endpoints' writes to the store.
    void writeConfiguration(GatewayConfiguration configuration);
    void writeEndpoint(const EndpointRecord& record);
    void removeEndpoint(const EndpointId& endpoint);
    void setZoneOut(const std::string& zone, bool out);

    /** What the store holds at one moment. */
    struct Copy {
        std::uint64_t storeVersion { 0 };
        std::shared_ptr<const GatewayConfiguration> configuration;
        std::uint64_t configurationVersion { 0 };
        std::map<EndpointId, Row> endpoints;
        std::set<ZoneId> zones;
    };
    Copy copy() const
    {
        return { this->storeVersion, this->configuration, this->configurationVersion, this->endpoints, this->zones };
    }
    /** Replaces the store by an older copy, in a new era. */
    void restore(const Copy& copy);

    // Faults. Gateways are addressed by their index.
    void setPaused(std::size_t gateway, bool paused);
    void setCutFromStore(std::size_t gateway, bool cut);
    /** Calls to a store that cannot be reached fail at once instead of with a timeout. */
    void setResetsCalls(bool resets) { this->resetsCalls = resets; }
    /** Ends the process without notice and starts a new one. */
    void restart(std::size_t gateway);
    void setStoreDown(bool down) { this->storeDown = down; }
    /** @param share share of the datagrams that are lost, from 0 to 1. */
    void setLoss(double share) { this->lossShare = share; }
    void setDelay(Milliseconds delay) { this->datagramDelay = delay; }

    /** Sends a request for the path with the key to a gateway. @return true if the gateway sent it to an endpoint. */
    bool accepts(std::size_t gateway, const std::string& path, const std::string& key);
    /** @return true if the gateway would send a request to the endpoint. */
    bool knowsAsUsable(std::size_t gateway, const EndpointId& endpoint);
    bool isReady(std::size_t gateway) const;
    /** @return the number of calls to the store so far, including failed ones. */
    std::size_t calls() const { return this->callCount; }
    /** @return the numbers of calls to the store for each gateway. */
    std::vector<std::size_t> callsPerGateway() const;
    /** @return the number of datagrams with store readings so far. */
    std::size_t announcements() const { return this->announcementCount; }
    std::size_t size() const { return this->nodes.size(); }

private:
    struct PendingRead {
        ReadStore command;
        Milliseconds startedAt { 0 };
        Milliseconds answerDueAt { 0 };
    };

    struct Node {
        GatewayIdentity identity;
        Address address;
        /** Difference between the gateway's own clock and the simulated time. */
        Milliseconds clockOffset { 0 };
        std::unique_ptr<Gateway> gateway;
        std::vector<PendingRead> reads;
        std::deque<GatewayEvent> inbox;
        bool isPaused { false };
        bool isCutFromStore { false };
        std::optional<EndpointId> lastEndpoint;
        std::uint64_t lastRequest { 0 };
        std::size_t calls { 0 };
    };

    struct Datagram {
        Milliseconds dueAt { 0 };
        std::size_t receiver { 0 };
        GatewayEvent event;
    };

    Instant localTime(const Node& node) const { return Instant(node.clockOffset + this->time); }
    void startProcess(Node& node);
    void step();
    void stepNode(Node& node);
    void execute(Node& node, const GatewayActions& actions);
    void sendToPeers(const GatewayEvent& event, const std::vector<Address>& receivers);
    void advanceReads(Node& node);
    /** @return true if the command reads the whole section; the history of an earlier era is gone. */
    bool readsAll(const ReadStore& command) const { return !command.since || command.since->era != this->era; }
    bool hasChanges(const ReadStore& command) const;
    void answer(Node& node, const PendingRead& read);
    void answerEndpoints(Node& node, const ReadStore& command);
    bool isStoreReachable(const Node& node) const { return !this->storeDown && !node.isCutFromStore; }

    Options options;
    SeededRandomness randomness;
    Milliseconds time { 0 };
    std::vector<Node> nodes;
    std::vector<Datagram> datagrams;
    std::uint64_t storeVersion { 1 };
    std::uint64_t era { 0 };
    std::shared_ptr<const GatewayConfiguration> configuration;
    std::uint64_t configurationVersion { 0 };
    std::map<EndpointId, Row> endpoints;
    std::set<ZoneId> zones;
    std::vector<GatewayMember> members;
    std::uint64_t membersVersion { 1 };
    bool storeDown { false };
    bool resetsCalls { false };
    double lossShare { 0 };
    Milliseconds datagramDelay { 1 };
    std::size_t callCount { 0 };
    std::size_t announcementCount { 0 };
};

}
