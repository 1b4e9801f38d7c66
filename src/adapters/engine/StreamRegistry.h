#pragma once

#include "ports/Ids.h"

#include <Poco/Net/HTTPClientSession.h>

#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace teaselfold::Internal {

/** Which stream of each generation is the current one. A newer one, or a cancel, cuts the older one off. */
class StreamRegistry {
public:
    /** Makes a new stream the current one. @return its number. */
    std::uint64_t open(GenerationId generation);

    /** Cuts the current stream off; none is current afterwards. */
    void cut(GenerationId generation);

    /** Cuts all streams off. */
    void cutAll();

    /** Notes the connected session of a stream. @return false when the stream is not the current one. */
    bool attach(GenerationId generation, std::uint64_t number, Poco::Net::HTTPClientSession& session);

    /** Forgets a stream; its session may be destroyed afterwards. */
    void close(GenerationId generation, std::uint64_t number);

    /** @return whether the stream is still the current one. */
    bool isCurrent(GenerationId generation, std::uint64_t number) const;

    /** @return whether any stream of the generation is current. */
    bool isOpen(GenerationId generation) const;

private:
    struct Stream {
        std::uint64_t number { 0 };
        Poco::Net::HTTPClientSession* session { nullptr };
    };

    static void abort(Stream& stream);

    mutable std::mutex mutex;
    std::uint64_t lastNumber { 0 };
    std::unordered_map<GenerationId, Stream> streams;
};

}
