// Feeds bytes of callers, endpoints, the platform's store and other gateways to their decoders, in two pieces.
#include "adapters/peers/NewsCodec.h"
#include "adapters/traffic/BodyDecoder.h"
#include "adapters/traffic/EventSplitter.h"
#include "platform/ConfigurationReader.h"
#include "platform/PlatformTrafficCodec.h"

#include <cstddef>
#include <cstdint>
#include <string>

using namespace teaselfold;

namespace {

constexpr std::size_t maximumHeadBytes = 4096;

void readRequest(const std::string& bytes)
{
    const auto read = parseRequestHead(bytes, maximumHeadBytes);
    const auto* parsed = std::get_if<ParsedHead<RequestHead>>(&read);
    if (!parsed)
        return;
    PlatformTrafficCodec().readRequest(parsed->head);
    const auto framing = requestFraming(parsed->head);
    if (const auto* known = std::get_if<BodyFraming>(&framing)) {
        BodyDecoder decoder(*known);
        std::string body;
        decoder.feed(std::string_view(bytes).substr(parsed->bytes), body);
    }
}

void readResponse(const std::string& bytes)
{
    const auto read = parseAnswerHead(bytes, maximumHeadBytes);
    if (const auto* parsed = std::get_if<ParsedHead<ResponseHead>>(&read)) {
        PlatformTrafficCodec().readResponse(parsed->head);
        answerFraming(parsed->head);
    }
    PlatformTrafficCodec().readMigrationResponse(ExchangeId(1), 200, bytes);
}

void readPieces(const std::string& bytes)
{
    const std::size_t half = bytes.size() / 2;
    BodyDecoder chunks({ BodyKind::Chunked, 0 });
    std::string body;
    chunks.feed(bytes.substr(0, half), body);
    chunks.feed(bytes.substr(half), body);
    EventSplitter events(std::optional<std::uint64_t>(3));
    events.feed(bytes.substr(0, half));
    events.feed(bytes.substr(half));
}

}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    readRequest(bytes);
    readResponse(bytes);
    readPieces(bytes);
    Prepared::readConfiguration(bytes);
    Prepared::readEndpoint("i-1", bytes);
    decodeNews(bytes);
    return 0;
}
