#pragma once

#include "ports/GatewayConfiguration.h"

#include <set>

namespace teaselfold {

/** Which versions of a service's endpoints may receive requests. */
struct VersionRule {
    std::set<SoftwareVersion> listed;
    /** True if only the listed versions are allowed; otherwise all others are. */
    bool isAllowList { true };

    bool allows(const SoftwareVersion& version) const { return this->listed.contains(version) == this->isAllowList; }
    bool operator==(const VersionRule&) const = default;
};

}
