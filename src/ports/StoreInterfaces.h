#pragma once

#include "ports/Rollouts.h"

namespace teaselfold {

/** Port to the platform's store. */
class StoreReads {
public:
    virtual ~StoreReads() = default;
    /** Starts a read. StoreReadSucceeded or StoreReadFailed follows, after the events for what was read. */
    virtual void read(const ReadStore& command) = 0;
};

/** Port to the records of roll-outs in the platform's store. */
class RolloutStore {
public:
    virtual ~RolloutStore() = default;
    /** Starts a read. RolloutsRead or RolloutStoreFailed follows. */
    virtual void read(const ReadRollouts& command) = 0;
    /** Starts a write. RolloutStored, RolloutsRead or RolloutStoreFailed follows. */
    virtual void write(const WriteRollout& command) = 0;
};

}
