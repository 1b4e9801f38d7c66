#pragma once

#include "ports/Ids.h"
#include "ports/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace teaselfold {

/** A stream that is whole at the entry and whose last tokens its caller's connection has not yet taken. */
struct UnacknowledgedStream {
    EndpointId endpoint;
    GenerationId generation;
    std::uint32_t tokenCount { 0 };
    Instant until;
};

/**
 * Streams that ended before their last tokens were acknowledged. The agent keeps a token until it is acknowledged, so
 * an entry that forgot these would hold up the agent's planned stop.
 */
class UnacknowledgedStreams {
public:
    void add(RequestId request, const UnacknowledgedStream& stream) { this->streams.insert_or_assign(request, stream); }

    /**
     * The caller's connection took all tokens below `nextIndex`.
     * @return where to acknowledge them, if there is a tail
     */
    std::optional<UnacknowledgedStream> consumed(RequestId request, std::uint32_t nextIndex);

    /** The caller left, so nothing of its stream will be taken at this entry. */
    void forget(RequestId request) { this->streams.erase(request); }

    /** Drops streams whose time is over. */
    void expire(Instant now);

    bool empty() const { return this->streams.empty(); }

private:
    std::map<RequestId, UnacknowledgedStream> streams;
};

}
