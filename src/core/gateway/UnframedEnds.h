#pragma once

#include "ports/Ids.h"
#include "ports/PeerMessages.h"
#include "ports/Time.h"

#include <functional>
#include <vector>

namespace teaselfold {

/** The end of an unframed stream soon after its start: its run is complete, or its endpoint crashed. */
struct UnframedEnd {
    EndpointId endpoint;
    /** Start of the endpoint's incarnation. */
    WallTime startedAt;
    Fingerprint fingerprint;
    std::vector<PromptPartId> promptParts;
    Instant at;
    /** The endpoint has answered a request since. */
    bool hasAnswered { false };
};

/** What is known of an endpoint since the end of a stream. */
enum class SeenSince : std::uint8_t {
    /** The endpoint has its record of then. */
    SameIncarnation,
    /** The endpoint has no record. */
    Nothing,
    /** The endpoint refuses connections, or started again. */
    Crash,
};

/**
 * Weighs the ends of unframed streams, which look alike whether the run is complete or the endpoint crashed, by what is
 * seen of the endpoint afterwards.
 */
class UnframedEnds {
public:
    /** What is certain of the ends that were weighed. */
    struct Verdicts {
        std::vector<UnframedEnd> crashed;
        std::vector<UnframedEnd> survived;
    };

    void add(UnframedEnd end);
    /** Records that an endpoint answered a request. */
    void recordAnswer(const EndpointId& endpoint);
    /** @return the ends that are certain now. They, and those that stay uncertain for too long, are forgotten. */
    Verdicts weigh(const std::function<SeenSince(const UnframedEnd& end)>& seenSince, Instant now);

private:
    std::vector<UnframedEnd> ends;
};

}
