#pragma once

#include "ports/EngineMessages.h"

#include <cstdint>
#include <optional>

namespace teaselfold {

/**
 * Counts the generations that an earlier process of the agent left running at the engine. The agent does not know their
 * ids and cannot cancel them. The engine's first report sets the count; later reports only lower it.
 */
class InheritedWork {
public:
    /**
     * Updates the count from the engine's report. Reports lag, so the count falls only when two reports in a row agree.
     * @param ownRunning number of running generations that this process of the agent started.
     */
    void observe(const EngineReport& report, std::uint32_t ownRunning);

    /** @return number of inherited generations that may still be running. */
    std::uint32_t running() const { return this->count; }

private:
    std::optional<std::uint64_t> engineIncarnation;
    std::uint32_t count { 0 };
    std::uint32_t lastExcess { 0 };
};

}
