#pragma once

#include "adapters/net/BoundedSocket.h"
#include "ports/Ids.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace teaselfold::Internal {

/** Tracks the current stream of each generation. A stream is aborted by a newer one or by a cancel. */
class StreamRegistry {
public:
    /** Makes a new stream the current one and aborts the previous one. @return the new stream's number. */
    std::uint64_t open(GenerationId generation);

    /** Aborts the current stream; none is current afterwards. */
    void abort(GenerationId generation);

    void abortAll();

    /** Records the socket of a stream, to be cancelled with it. @return false when the stream is not the current one.
     */
    bool attach(GenerationId generation, std::uint64_t number, const BoundedSocket& socket);

    /** Removes a stream if it is still the current one. */
    void close(GenerationId generation, std::uint64_t number);

    /** @return whether the stream is still the current one. */
    bool isCurrent(GenerationId generation, std::uint64_t number) const;

    /** @return whether the generation has a current stream. */
    bool isOpen(GenerationId generation) const;

private:
    struct Stream {
        std::uint64_t number { 0 };
        std::optional<BoundedSocket> socket;
    };

    static void cancel(Stream& stream);

    mutable std::mutex mutex;
    std::uint64_t lastNumber { 0 };
    std::unordered_map<GenerationId, Stream> streams;
};

}
