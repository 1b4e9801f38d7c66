#pragma once

#include "ports/EngineMessages.h"

#include <cstdint>
#include <optional>

namespace teaselfold {

/**
 * Generations that an earlier life of the agent left running at the engine. The agent has no ids of them and cannot
 * cancel them; it only counts them. Once a life of the engine is followed, nothing is added.
 */
class InheritedWork {
public:
    /**
     * Learns from a report.
     * @param own generations of this life that run now. As reports lag, the count falls only when two reports in a row
     * say so.
     */
    void observe(const EngineReport& report, std::uint32_t ownRunning);

    /** @return generations that may still run. */
    std::uint32_t running() const { return this->count; }

private:
    std::optional<std::uint64_t> engineIncarnation;
    std::uint32_t count { 0 };
    std::uint32_t lastExcess { 0 };
};

}
