#pragma once

#include "adapters/traffic/HttpHeads.h"

#include <string>
#include <string_view>

namespace teaselfold {

/** How the end of a body is told. */
enum class BodyKind : std::uint8_t {
    Length,
    Chunked,
    UntilClose,
};

/** Where a body ends. */
struct BodyFraming {
    BodyKind kind { BodyKind::Length };
    std::uint64_t length { 0 };
};

/** @return the framing of a request's body; conflicting or unknown framing is a fault. */
std::variant<BodyFraming, HeadFault> requestFraming(const RequestHead& head);
/** @return the framing of an answer's body. */
std::variant<BodyFraming, HeadFault> answerFraming(const ResponseHead& head);

/** Takes a body out of its framing, whatever pieces it comes in. */
class BodyDecoder {
public:
    explicit BodyDecoder(BodyFraming framing)
        : framing(framing)
        , left(framing.length)
    {
    }

    /** Takes bytes. @param body gets what they contain. @return how many bytes belong to this body. */
    std::size_t feed(std::string_view bytes, std::string& body);
    /** The connection ended. */
    void end();
    bool isDone() const;
    /** The framing is broken: nothing on the connection can be trusted. */
    bool isBroken() const { return this->broken; }

private:
    enum class ChunkPart : std::uint8_t {
        Size,
        Data,
        DataEnd,
        Trailer,
        Done,
    };

    std::size_t feedLength(std::string_view bytes, std::string& body);
    std::size_t feedChunked(std::string_view bytes, std::string& body);
    bool takeLine(std::string_view bytes, std::size_t& used);
    void finishLine();
    void startChunk();

    BodyFraming framing;
    std::uint64_t left;
    ChunkPart part { ChunkPart::Size };
    std::string line;
    bool ended { false };
    bool broken { false };
};

}
