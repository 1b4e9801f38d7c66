#include "core/agent/InheritedWork.h"

#include <algorithm>

namespace teaselfold {

void InheritedWork::observe(const EngineReport& report, std::uint32_t ownRunning)
{
    const std::uint32_t excess = report.running - std::min(report.running, ownRunning);
    if (!this->engineIncarnation)
        this->count = excess;
    else if (*this->engineIncarnation != report.incarnation)
        this->count = 0;
    else
        this->count = std::min(this->count, std::max(excess, this->lastExcess));
    this->engineIncarnation = report.incarnation;
    this->lastExcess = excess;
}

}
