#pragma once

#include "ports/Time.h"

namespace teaselfold {

/**
 * @return the time since the machine's start, suspended time included. The ages of what was learned from outside
 * count on this clock: a suspended machine must not take old knowledge for new.
 */
Instant bootTimeNow();

}
