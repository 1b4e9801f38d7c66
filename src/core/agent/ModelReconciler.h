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
 * Orders the engine to hold the fleet's models. Each order carries a fencing number that this agent took for its life
 * from the table row `fence/<endpoint>`. An engine that ignores the number is protected by reading the row again
 * before each round of orders, and by ordering only what the engine's own report lacks.
 */
class ModelReconciler {
public:
    ModelReconciler(EndpointId endpoint, AdmissionLimits limits);

    /** Takes the next step that is due. @param report the engine's last report. */
    void tick(const AgentControlState& controlState, const std::optional<EngineReport>& report, Instant now,
        std::vector<AgentAction>& actions);

    /** Takes the table's answer in. */
    void handle(const PlatformReply& reply, std::vector<AgentAction>& actions);

    /** Takes the engine's answer in. */
    void handle(const EngineOrderResult& result, std::vector<AgentAction>& actions);

    /** @return true once a newer agent gives the orders to this endpoint. */
    bool isSuperseded() const { return this->superseded; }

    /** @return true when the fleet wants the model and the report lacks it. */
    static bool isModelMissing(const AgentControlState& controlState, const EngineReport& report, const ModelId& model);

private:
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
    AdmissionLimits limits;
    Stage stage { Stage::NoToken };
    std::uint64_t fencingToken { 0 };
    std::uint64_t requestedToken { 0 };
    std::uint64_t lastOperation { 0 };
    std::optional<Instant> nextAttemptAt;
    std::uint64_t engineIncarnation { 0 };
    std::set<std::string> loadedAdapters;
    /** Versions that the engine took in its present life; its report may name models without a version. */
    std::map<std::string, std::string> orderedVersions;
    bool superseded { false };
};

}
