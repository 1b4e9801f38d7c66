#pragma once

#include "core/agent/AgentKnowledge.h"
#include "core/agent/EngineProfile.h"
#include "core/agent/EngineSupervisor.h"
#include "core/agent/FairQueue.h"

namespace teaselfold {

/** What can be expected of the engine at one moment: whether work may start, how long it waits, what is reported. */
class EngineForecast {
public:
    EngineForecast(const AgentKnowledge& knowledge, GenerationTable& table, const EngineProfile& profile,
        const EngineSupervisor& supervisor, Instant now)
        : knowledge(knowledge)
        , table(table)
        , profile(profile)
        , supervisor(supervisor)
        , now(now)
    {
    }

    /** @return whether the strategy in force lets the generation start. */
    bool mayStart(const Generation& generation) const;

    /** @return whether the engine's last report lacks a model that the fleet puts here. */
    bool lacksModel(const ModelId& model) const;

    /** @return how long a new generation waits behind the queue. */
    Duration expectedWaitOf(const Generation& generation, const FairQueue& queue) const;

    /** @return the load; configuration and orders are left empty. */
    LoadReport report(const FairQueue& queue) const;

private:
    const AdmissionStrategy& strategy() const;
    std::uint32_t room(const FairQueue& queue) const;

    const AgentKnowledge& knowledge;
    GenerationTable& table;
    const EngineProfile& profile;
    const EngineSupervisor& supervisor;
    Instant now;
};

}
