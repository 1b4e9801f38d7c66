#pragma once

#include "core/agent/AgentControlState.h"
#include "ports/AgentPorts.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teaselfold {

/**
 * Sends orders to the engine until its loaded models match the fleet configuration. Each order carries a fencing token
 * that this agent acquires once, from the table row `fence/<endpoint>`. For an engine that does not check the token,
 * the agent reads the row again before each round of orders and orders only what the engine's report lacks.
 */
class ModelReconciler {
public:
    ModelReconciler(EndpointId endpoint, AgentLimits limits);

    /**
     * Takes the next step that is due: acquires or verifies the fencing token, or sends orders.
     * @param report the engine's last report; nothing before the first one.
     */
    void tick(const AgentControlState& controlState, const std::optional<EngineReport>& report, Instant now,
        std::vector<AgentAction>& actions);

    /** Handles a reply of the platform's table. */
    void handle(const PlatformReply& reply, std::vector<AgentAction>& actions);

    /** Handles the engine's reply to an order. */
    void handle(const EngineOrderResult& result, std::vector<AgentAction>& actions);

    /** @return true once a newer agent manages this endpoint. */
    bool isSuperseded() const { return this->superseded; }

    /** @return true when the fleet configuration assigns the model to this endpoint and the report does not list it. */
    static bool isModelMissing(const AgentControlState& controlState, const EngineReport& report, const ModelId& model);

private:
    /** Progress in acquiring and verifying the fencing token. */
    enum class Stage : std::uint8_t {
        NoToken,
        Reading,
        Writing,
        Held,
        Verifying,
        Verified,
    };

    std::vector<EngineOrder> pendingOrders(const AgentControlState& controlState, const EngineReport& report) const;
    bool isLoaded(const EngineReport& report, const Model& model) const;
    void addMissingAdapters(const Model& model, std::vector<EngineOrder>& orders) const;
    void send(PlatformRequest request, std::vector<AgentAction>& actions);
    void readFencingRow(Stage next, std::vector<AgentAction>& actions);
    void onFencingRowRead(const Rows& rows, std::vector<AgentAction>& actions);
    void onFencingRowVerified(const PlatformResult& result, std::vector<AgentAction>& actions);
    void supersede(std::vector<AgentAction>& actions);

    EndpointId endpoint;
    AgentLimits limits;
    Stage stage { Stage::NoToken };
    std::uint64_t fencingToken { 0 };
    std::uint64_t requestedToken { 0 };
    std::uint64_t lastOperation { 0 };
    std::optional<Instant> nextAttemptAt;
    std::uint64_t engineIncarnation { 0 };
    std::set<std::string> loadedAdapters;
    /** Versions that the engine accepted since its last restart; its report may list models without a version. */
    std::map<std::string, std::string> orderedVersions;
    bool superseded { false };
};

}
