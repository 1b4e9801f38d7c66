#include "runtime/FreedMemory.h"

#include <malloc.h>

namespace teaselfold {

void returnFreedMemory()
{
    // Setting the threshold keeps the allocator from raising it.
    constexpr int largeBlockBytes = 128 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    // Threads share what is freed, instead of each keeping its own.
    constexpr int arenas = 2;
    ::mallopt(M_ARENA_MAX, arenas);
}

}
