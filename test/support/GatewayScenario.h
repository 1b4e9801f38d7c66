#pragma once

#include "core/gateway/Gateway.h"
#include "emulator/SeededRandomness.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace teaselfold {

/** Drives the decision logic of a gateway with a sample configuration, endpoints and a manual clock. */
class GatewayScenario {
public:
    /** @return a configuration with an idempotent, a non-idempotent and a streaming route, and two teams. */
    static GatewayConfiguration configuration(std::uint64_t version = 1);
    static EndpointRecord engine(const std::string& id, const std::string& zone = "north");
    static EndpointRecord plain(const std::string& id, const std::string& zone = "north");

    explicit GatewayScenario(GatewayLimits limits = {});

    /** Provides the configuration, three engines and three plain endpoints, all read at the current time. */
    GatewayScenario& start();
    /** Advances the clock, with the gateway's periodic ticks. */
    GatewayScenario& advance(Milliseconds time);
    GatewayScenario& handle(const GatewayEvent& event);
    /** Records successful reads of the configuration and of the endpoints at the current time. */
    GatewayScenario& answerFromStore();

    /** Lets a new request arrive. @return its id. */
    RequestId arrive(const std::string& path, const std::string& key = "key-a");
    /** Lets a request with a given fingerprint arrive, for example a repeated one. @return its id. */
    RequestId arriveWithFingerprint(const std::string& path, Fingerprint fingerprint);
    /** Answers the last started exchange. */
    void answer(ResponseSummary summary);
    /** Ends the last started exchange. */
    void end(ExchangeEnd end);

    /** @return the last recorded action of the type, if any. The actions stay recorded. */
    template <typename Action> std::optional<Action> lastAction()
    {
        std::optional<Action> found;
        for (const GatewayAction& action : this->actions) {
            if (const auto* match = std::get_if<Action>(&action))
                found = *match;
        }
        return found;
    }
    void clearActions() { this->actions.clear(); }
    /** @return all recorded actions in their order, and clears them. */
    GatewayActions takeActions() { return std::exchange(this->actions, {}); }

    Gateway& gatewayUnderTest() { return this->gateway; }
    Instant now() const { return this->time; }
    /** @return the order of the last started exchange. */
    const std::optional<ExchangeParameters>& lastOrder() const { return this->parameters; }

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
