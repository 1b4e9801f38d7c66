#pragma once

#include "ports/GatewayMessages.h"

#include <optional>
#include <vector>

namespace teaselfold {

/** A copy of a run's KV cache at another engine, from which the run may go on once its own engine has ended. */
struct KeptCopy {
    EndpointId endpoint;
    /** Address that belongs to the handle. */
    Address holder;
    KvCacheHandle handle;
    /** Last event that the caller had when the copy was asked for. What came later is read again. */
    std::uint64_t lastEventId { 0 };
};

/** The copies of one run that its engine was asked for, and that no engine has used yet. */
class KeptCopies {
public:
    /** Adds a copy. It replaces an older one at the same engine. */
    void add(KeptCopy copy);
    /** Removes the copy from which least is read again. @return it; unset if there is none. */
    std::optional<KeptCopy> takeNewest();
    /** Forgets all copies, since the run has gone on elsewhere. */
    void clear() { this->copies.clear(); }
    bool isEmpty() const { return this->copies.empty(); }

private:
    /** The newest one last. */
    std::vector<KeptCopy> copies;
};

}
