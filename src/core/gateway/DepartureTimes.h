#pragma once

#include "ports/Ids.h"
#include "ports/Time.h"

#include <deque>
#include <map>

namespace teaselfold {

/** How long the endpoints of each service go on after they began to leave, as learned from those that ended. */
class DepartureTimes {
public:
    /** Records that a leaving endpoint ended. @param time time since it began to leave. */
    void record(const ServiceId& service, Duration time);
    /** @return the shortest time of the last endpoints that ended; an assumed one if none has. */
    Duration shortest(const ServiceId& service) const;

private:
    std::map<ServiceId, std::deque<Duration>> times;
};

}
