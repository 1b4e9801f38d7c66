#include "runtime/BootClock.h"

#include <ctime>

namespace teaselfold {

Instant bootTimeNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(Seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

}
