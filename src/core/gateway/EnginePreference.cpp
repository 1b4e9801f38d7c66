#include "core/gateway/EnginePreference.h"

#include "core/entry/Rendezvous.h"

namespace teaselfold {

namespace {

    /** Engines that a gateway prefers on average: enough to leave crowded and slow ones out. */
    constexpr double preferredEngines = 12;

}

bool prefersEngine(const GatewayId& gateway, std::uint32_t endpoint, std::size_t engineCount)
{
    constexpr double hashRange = 4294967296.0;
    const auto position
        = static_cast<std::uint32_t>(hashOf(gateway.get() + "/" + std::to_string(endpoint))) / hashRange;
    return position * static_cast<double>(engineCount) < preferredEngines;
}

}
