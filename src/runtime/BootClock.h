#pragma once

#include "ports/Time.h"

namespace teaselfold {

/**
 * @return the time since the machine booted, including time in suspend. The age of received information is measured on
 * this clock, so that information does not count as fresh after the machine was suspended.
 */
Instant bootTimeNow();

}
