#pragma once

#include "ports/Ids.h"
#include "ports/Time.h"

#include <cstdint>
#include <map>

namespace teaselfold {

/**
 * The engines that had no room for a copy a moment ago. A gateway asks them for no copy that is as large, so that all
 * of its runs find the engines with room, in another zone too, before their own engine ends.
 */
class CopyRefusals {
public:
    /** Records that an engine had no room for a copy. @param tokens size of the run. */
    void record(const EndpointId& endpoint, std::uint64_t tokens, Instant now);
    /** @return true if the engine refused a copy of this size or a smaller one a moment ago. */
    bool refuses(const EndpointId& endpoint, std::uint64_t tokens, Instant now) const;
    /** Forgets the refusals that are too old. */
    void expire(Instant now);

private:
    struct Refusal {
        std::uint64_t tokens { 0 };
        Instant at;
    };

    std::map<EndpointId, Refusal> refusals;
};

}
