#pragma once

#include "ports/Time.h"

namespace teaselfold {

/** What callers expect of the streams of a service. Zero stands for no objective. */
struct StreamObjectives {
    /** Time to the first event of the request. */
    Milliseconds firstEvent { 0 };
    /** Longest time between two events; the shortest of the service's routes, as its streams share engines. */
    Milliseconds eventInterval { 0 };
};

}
