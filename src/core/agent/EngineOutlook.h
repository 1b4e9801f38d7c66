#pragma once

#include "core/agent/AgentControlState.h"
#include "core/agent/EngineProfile.h"
#include "core/agent/EngineSupervisor.h"
#include "core/agent/FairQueue.h"

namespace teaselfold {

/** What can be expected of the engine at one moment: whether work may start, how long it waits, what is reported. */
class EngineOutlook {
public:
    EngineOutlook(const AgentControlState& controlState, GenerationTable& table, const EngineProfile& profile,
        const EngineSupervisor& supervisor, Instant now)
        : controlState(controlState)
        , table(table)
        , profile(profile)
        , supervisor(supervisor)
        , now(now)
    {
    }

    /** @return whether the strategy in force lets the generation start. */
    bool mayStart(const Generation& generation) const;

    /** @return whether the engine's last report lacks a model that the fleet puts here. */
    bool isModelMissing(const ModelId& model) const;

    /** @return how long a new generation waits behind the queue. */
    Duration waitFor(const Generation& generation, const FairQueue& queue) const;

    /** @return the load; configuration and orders are left empty. */
    LoadReport report(const FairQueue& queue) const;

private:
    const AdmissionStrategy& strategy() const;
    std::uint32_t room(const FairQueue& queue) const;

    const AgentControlState& controlState;
    GenerationTable& table;
    const EngineProfile& profile;
    const EngineSupervisor& supervisor;
    Instant now;
};

}
