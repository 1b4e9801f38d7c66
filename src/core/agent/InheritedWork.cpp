#include "core/agent/InheritedWork.h"

#include <algorithm>

namespace teaselfold {

void InheritedWork::observe(const EngineReport& report, std::uint32_t own)
{
    const std::uint32_t excess = report.running - std::min(report.running, own);
    if (!this->engine)
        this->count = excess;
    else if (*this->engine != report.incarnation)
        this->count = 0;
    else
        this->count = std::min(this->count, std::max(excess, this->lastExcess));
    this->engine = report.incarnation;
    this->lastExcess = excess;
}

}
