#pragma once

#include "adapters/net/HttpHeads.h"

#include <string>
#include <string_view>

namespace teaselfold {

/** How the end of a body is marked. */
enum class BodyKind : std::uint8_t {
    Length,
    Chunked,
    UntilClose,
};

/** Framing of a message body. */
struct BodyFraming {
    BodyKind kind { BodyKind::Length };
    /** Body size in bytes; used with `BodyKind::Length` only. */
    std::uint64_t length { 0 };
};

/** @return the framing of a request body, or a fault for conflicting or unknown framing. */
std::variant<BodyFraming, HeadFault> requestFraming(const RequestHead& head);
/** @return the framing of a response body, or a fault for conflicting or unknown framing. */
std::variant<BodyFraming, HeadFault> responseFraming(const ResponseHead& head);

/** Decodes a framed body incrementally, however its bytes are split. */
class BodyDecoder {
public:
    explicit BodyDecoder(BodyFraming framing)
        : framing(framing)
        , bytesLeft(framing.length)
    {
    }

    /** Decodes bytes. @param body gets the content appended. @return the number of bytes that belong to this body. */
    std::size_t feed(std::string_view bytes, std::string& body);
    /** Marks the end of input, which completes a body framed by `BodyKind::UntilClose`. */
    void connectionClosed();
    bool isComplete() const;
    /** @return true when only the end of the connection marks the end of the body. */
    bool endsWithConnection() const { return this->framing.kind == BodyKind::UntilClose; }
    /** @return true when the framing is malformed, so that nothing further on the connection can be trusted. */
    bool isMalformed() const { return this->malformed; }

private:
    enum class ChunkState : std::uint8_t {
        Size,
        Data,
        DataEnd,
        Trailer,
        Done,
    };

    std::size_t feedFixedLength(std::string_view bytes, std::string& body);
    std::size_t feedChunked(std::string_view bytes, std::string& body);
    bool readLine(std::string_view bytes, std::size_t& used);
    void processLine();
    void processChunkSize();

    BodyFraming framing;
    std::uint64_t bytesLeft;
    ChunkState chunkState { ChunkState::Size };
    std::string line;
    /** Bytes of chunk extensions and trailers, which carry no content. */
    std::size_t overheadBytes { 0 };
    bool isClosed { false };
    bool malformed { false };
};

}
