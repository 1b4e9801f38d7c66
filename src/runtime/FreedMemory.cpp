#include "runtime/FreedMemory.h"

#include <malloc.h>

namespace teaselfold {

void returnFreedMemory()
{
    // Setting the threshold keeps the allocator from raising it.
    constexpr int largeBlockBytes = 128 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
}

}
