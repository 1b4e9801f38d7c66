#pragma once

#include "core/agent/AgentKnowledge.h"
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
class EngineOrders {
public:
    EngineOrders(EndpointId endpoint, AgentLimits limits);

    /** Takes the next step that is due. @param report the engine's last report. */
    void tick(const AgentKnowledge& knowledge, const std::optional<EngineReport>& report, Instant now,
        std::vector<AgentAction>& actions);

    /** Takes the table's answer in. */
    void handle(const PlatformReply& reply, std::vector<AgentAction>& actions);

    /** Takes the engine's answer in. */
    void handle(const EngineOrderResult& result, std::vector<AgentAction>& actions);

    /** @return true once a newer agent gives the orders to this endpoint. */
    bool isSuperseded() const { return this->superseded; }

    /** @return true when the fleet wants the model and the report lacks it. */
    static bool lacksModel(const AgentKnowledge& knowledge, const EngineReport& report, const ModelId& model);

private:
    enum class Stage : std::uint8_t {
        NoFence,
        Reading,
        Writing,
        Held,
        Verifying,
        Verified,
    };

    std::vector<EngineOrder> missing(const AgentKnowledge& knowledge, const EngineReport& report) const;
    bool holds(const EngineReport& report, const Model& model) const;
    void addAdapters(const Model& model, std::vector<EngineOrder>& orders) const;
    void send(PlatformRequest request, std::vector<AgentAction>& actions);
    void readFence(Stage next, std::vector<AgentAction>& actions);
    void onFenceRead(const Rows& rows, std::vector<AgentAction>& actions);
    void onFenceVerified(const PlatformResult& result, std::vector<AgentAction>& actions);
    void supersede(std::vector<AgentAction>& actions);

    EndpointId endpoint;
    AgentLimits limits;
    Stage stage { Stage::NoFence };
    std::uint64_t fence { 0 };
    std::uint64_t wantedFence { 0 };
    std::uint64_t operations { 0 };
    std::optional<Instant> nextTry;
    std::uint64_t engineIncarnation { 0 };
    std::set<std::string> loadedAdapters;
    /** Versions that the engine took in its present life; its report may name models without a version. */
    std::map<std::string, std::string> orderedVersions;
    bool superseded { false };
};

}
