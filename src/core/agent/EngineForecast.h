#pragma once

#include "core/agent/AgentControlState.h"
#include "core/agent/EngineProfile.h"
#include "core/agent/EngineSupervisor.h"
#include "core/agent/FairQueue.h"

namespace teaselfold {

/** Estimates for the engine at one moment: whether a generation may start, how long it waits, and the load report. */
class EngineForecast {
public:
    EngineForecast(const AgentControlState& controlState, GenerationTable& table, const EngineProfile& profile,
        const EngineSupervisor& supervisor, Instant now)
        : controlState(controlState)
        , table(table)
        , profile(profile)
        , supervisor(supervisor)
        , now(now)
    {
    }

    /** @return true when the engine accepts starts and the configured strategy admits the generation. */
    bool mayStart(const Generation& generation) const;

    /** @return true when the engine's last report lacks a model that the fleet assigns to this endpoint. */
    bool isModelMissing(const ModelId& model) const;

    /** @return the expected wait of a new generation behind the queue; zero when it may start at once. */
    Duration expectedWaitOf(const Generation& generation, const FairQueue& queue) const;

    /** @return the load report; the release version and the digest of the orders are left empty. */
    LoadReport loadReport(const FairQueue& queue) const;

private:
    const AdmissionStrategy& strategy() const;
    /** @return number of further generations of typical size that the engine can start at once. */
    std::uint32_t room(const FairQueue& queue) const;

    const AgentControlState& controlState;
    GenerationTable& table;
    const EngineProfile& profile;
    const EngineSupervisor& supervisor;
    Instant now;
};

}
