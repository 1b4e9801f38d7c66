#pragma once

#include "ports/Ids.h"
#include "ports/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace teaselfold {

/** A stream that is whole at the entry and whose last tokens its caller's connection has not yet taken. */
struct StreamTail {
    EndpointId endpoint;
    GenerationId generation;
    std::uint32_t tokenCount { 0 };
    Instant until;
};

/**
 * Streams that ended before their last tokens were acknowledged. The agent keeps a token until it is acknowledged, so
 * an entry that forgot these would hold up the agent's planned stop.
 */
class StreamTails {
public:
    void add(RequestId request, const StreamTail& tail) { this->tails.insert_or_assign(request, tail); }

    /**
     * The caller's connection took all tokens below `nextIndex`.
     * @return where to acknowledge them, if there is a tail
     */
    std::optional<StreamTail> consumed(RequestId request, std::uint32_t nextIndex);

    /** The caller left, so nothing of its stream will be taken at this entry. */
    void forget(RequestId request) { this->tails.erase(request); }

    /** Drops tails whose time is over. */
    void expire(Instant now);

    bool empty() const { return this->tails.empty(); }

private:
    std::map<RequestId, StreamTail> tails;
};

}
