#pragma once

#include "core/gateway/Gateway.h"
#include "emulator/SeededRandomness.h"

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace teaselfold {

/** Drives the decision logic of a gateway with a sample configuration, sample endpoints and a manual clock. */
class GatewayScenario {
public:
    /** @return a configuration with an idempotent, a non-idempotent and a streaming route, and two teams. */
    static GatewayConfiguration configuration(std::uint64_t version = 1);
    static EndpointRecord engineEndpoint(const std::string& id, const std::string& zone = "north");
    static EndpointRecord plainEndpoint(const std::string& id, const std::string& zone = "north");

    explicit GatewayScenario(GatewayLimits limits = {});

    /** Provides the configuration, three engines and three plain endpoints, all read at the current time. */
    GatewayScenario& start();
    /** Advances the clock and calls the gateway's tick periodically. */
    GatewayScenario& advance(Milliseconds time);
    GatewayScenario& handle(const GatewayEvent& event);
    /** Records successful reads of the configuration and of the endpoints at the current time. */
    GatewayScenario& refreshFromStore();

    /** Passes a new request to the gateway. @return the request's id. */
    RequestId sendRequest(const std::string& path, const std::string& key = "key-a");
    /** Passes a new stream to the gateway. Half of the maximum output is expected. @return its id. */
    RequestId sendStream(std::uint64_t maxOutputTokens);
    /** Passes a request with the given fingerprint to the gateway, for example a repeated one. @return its id. */
    RequestId sendRequestWithFingerprint(const std::string& path, Fingerprint fingerprint);
    /** Provides a configuration whose engines keep no replicas. */
    GatewayScenario& disableReplicas();
    /** Sends new requests that may not be repeated. @return the endpoints to which the gateway sends them. */
    std::set<EndpointId> endpointsUsed(int requests);
    /** Responds to the last started exchange. */
    void respond(ResponseSummary summary);
    /** Ends the last started exchange. */
    void endExchange(ExchangeEnd end);
    /** Ends the engine of the last started exchange: the connection breaks, and the engine refuses further ones. */
    void loseEngine();

    /** @return the last recorded action of the type, if any. */
    template <typename Action> std::optional<Action> lastAction()
    {
        std::optional<Action> found;
        for (const GatewayAction& action : this->actions) {
            if (const auto* match = std::get_if<Action>(&action))
                found = *match;
        }
        return found;
    }
    /** @return the last recorded read of the section, if any. */
    std::optional<ReadStore> lastRead(StoreSection section) const;
    void clearActions() { this->actions.clear(); }
    /** Removes the recorded actions. @return the actions in their order. */
    GatewayActions takeActions() { return std::exchange(this->actions, {}); }

    Gateway& gatewayUnderTest() { return this->gateway; }
    Instant now() const { return this->time; }
    /** @return the parameters of the last started exchange, if any. */
    const std::optional<ExchangeParameters>& lastExchange() const { return this->parameters; }

    static ResponseSummary success();
    static ResponseSummary streamStart();
    static ResponseSummary notRunRefusal();
    static ResponseSummary failure(std::uint16_t status);

private:
    GatewayRequest request(const std::string& path, const std::string& key);
    RequestId receive(GatewayRequest request);
    void record(GatewayActions newActions);

    SeededRandomness randomness { 1 };
    Instant time { Seconds(1000) };
    Gateway gateway;
    GatewayActions actions;
    std::optional<ExchangeParameters> parameters;
    std::uint64_t lastRequest { 0 };
};

}
