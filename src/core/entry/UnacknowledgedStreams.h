#pragma once

#include "ports/Ids.h"
#include "ports/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace teaselfold {

/** A finished stream whose last tokens the caller's connection has not yet taken. */
struct UnacknowledgedStream {
    EndpointId endpoint;
    GenerationId generation;
    std::uint32_t tokenCount { 0 };
    Instant expiresAt;
};

/**
 * Streams that finished before their last tokens were acknowledged. The agent keeps a token until it is acknowledged,
 * so dropping these records would delay the agent's planned stop.
 */
class UnacknowledgedStreams {
public:
    void add(RequestId request, const UnacknowledgedStream& stream) { this->streams.insert_or_assign(request, stream); }

    /**
     * Records that the caller's connection took all tokens below `nextIndex`.
     * @return the stream to acknowledge, or nullopt when none is kept for the request.
     */
    std::optional<UnacknowledgedStream> recordConsumed(RequestId request, std::uint32_t nextIndex);

    /** Removes the stream of a caller that disconnected and will take no more tokens at this entry. */
    void forget(RequestId request) { this->streams.erase(request); }

    /** Removes the streams that have expired. */
    void expire(Instant now);

    bool empty() const { return this->streams.empty(); }

private:
    std::map<RequestId, UnacknowledgedStream> streams;
};

}
