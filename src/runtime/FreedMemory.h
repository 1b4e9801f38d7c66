#pragma once

namespace teaselfold {

/**
 * Makes the allocator return large blocks to the system as soon as they are freed. Otherwise blocks of a size that was
 * freed before stay in the heap, so that a burst of large bodies leaves the process large. To be called before threads
 * start.
 */
void returnFreedMemory();

}
