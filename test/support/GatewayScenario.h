#pragma once

#include "core/gateway/Gateway.h"
#include "emulator/SeededRandomness.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace teaselfold {

/** A gateway with a configuration and endpoints, driven by hand over the real decision objects. */
class GatewayScenario {
public:
    /** A configuration with one idempotent, one non-idempotent and one streaming route, and two teams. */
    static GatewayConfiguration configuration(std::uint64_t version = 1);
    static EndpointRecord engine(const std::string& id, const std::string& zone = "north");
    static EndpointRecord plain(const std::string& id, const std::string& zone = "north");

    explicit GatewayScenario(GatewayLimits limits = {});

    /** Reads the configuration and three engines and three plain endpoints, all at the current time. */
    GatewayScenario& start();
    GatewayScenario& pass(Milliseconds time);
    GatewayScenario& give(const GatewayEvent& event);
    /** Both parts of the store answered now. */
    GatewayScenario& storeAnswers();

    /** A request arrives. @return its id. */
    RequestId arrive(const std::string& path, const std::string& key = "key-a");
    /** A request arrives that another one may have been before. @return its id. */
    RequestId arriveAgain(const std::string& path, Fingerprint fingerprint);
    /** The newest exchange is answered. */
    void answer(ResponseSummary summary);
    void end(ExchangeEnd how);

    /** @return the newest action of a kind since the last call, and forgets all. */
    template <typename Action> std::optional<Action> take()
    {
        std::optional<Action> found;
        for (const GatewayAction& action : this->actions) {
            if (const auto* match = std::get_if<Action>(&action))
                found = *match;
        }
        return found;
    }
    void forget() { this->actions.clear(); }
    /** @return all actions since the last call, in their order. */
    GatewayActions takeAll() { return std::exchange(this->actions, {}); }

    Gateway& decisions() { return this->gateway; }
    Instant now() const { return this->time; }
    const std::optional<ExchangeParameters>& lastOrder() const { return this->parameters; }

    static ResponseSummary success();
    static ResponseSummary stream();
    static ResponseSummary full();
    static ResponseSummary failure(std::uint16_t status);

private:
    GatewayRequest request(const std::string& path, const std::string& key);
    RequestId receive(GatewayRequest request);
    void collect(GatewayActions taken);

    SeededRandomness randomness { 1 };
    Instant time { Seconds(1000) };
    Gateway gateway;
    GatewayActions actions;
    std::optional<ExchangeParameters> parameters;
    std::uint64_t lastRequest { 0 };
};

}
