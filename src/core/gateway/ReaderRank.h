#pragma once

#include "ports/StoreReadings.h"

#include <vector>

namespace teaselfold {

/** Name and zone of this gateway. */
struct GatewayIdentity {
    GatewayId instance;
    ZoneId zone;
};

/** @return true if the first gateway reads the section rather than the second one. All gateways agree on the order. */
bool isRankedBefore(const GatewayId& first, const GatewayId& second, StoreSection section);

/** @return the number of gateways in the zone of `self` that are ranked before it; zero for the preferred reader. */
std::size_t readerRank(const GatewayIdentity& self, StoreSection section, const std::vector<GatewayMember>& others);

}
