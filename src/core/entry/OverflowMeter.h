#pragma once

#include "ports/Ids.h"
#include "ports/Time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace teaselfold {

/** Measures the share of each service's recent traffic that went to other zones, with exponential decay. */
class OverflowMeter {
public:
    /** Counts one dispatch. @param overflow true when it went to another zone. */
    void recordDispatch(const ServiceId& service, bool overflow, Instant now);
    /**
     * @param percent the allowed share of the service's traffic.
     * @return whether one more dispatch to another zone stays within the share.
     */
    bool allows(const ServiceId& service, std::uint32_t percent, Instant now);

private:
    struct Traffic {
        double total { 0 };
        double overflow { 0 };
        std::optional<Instant> decayedAt;
    };

    Traffic& traffic(const ServiceId& service, Instant now);

    std::map<ServiceId, Traffic> services;
};

}
