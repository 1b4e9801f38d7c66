// Fuzzes the decoders of bytes from callers, endpoints, the platform's store and other gateways. Stream decoders get
// the input in two parts.
#include "adapters/net/BodyDecoder.h"
#include "adapters/peers/GossipCodec.h"
#include "adapters/traffic/EventStreamFilter.h"
#include "platform/ConfigurationReader.h"
#include "platform/PlatformTrafficCodec.h"

#include <cstddef>
#include <cstdint>
#include <string>

using namespace teaselfold;

namespace {

constexpr std::size_t maxHeadBytes = 4096;

void readRequest(const std::string& bytes)
{
    const auto read = parseRequestHead(bytes, maxHeadBytes);
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
    const auto read = parseResponseHead(bytes, maxHeadBytes);
    if (const auto* parsed = std::get_if<ParsedHead<ResponseHead>>(&read)) {
        PlatformTrafficCodec().readResponse(parsed->head);
        responseFraming(parsed->head);
    }
    PlatformTrafficCodec().readMigrationResponse(ExchangeId(1), { 200, "", {} }, bytes);
}

void readInTwoParts(const std::string& bytes)
{
    const std::size_t half = bytes.size() / 2;
    BodyDecoder chunks({ BodyKind::Chunked, 0 });
    std::string body;
    chunks.feed(bytes.substr(0, half), body);
    chunks.feed(bytes.substr(half), body);
    EventStreamFilter events(std::optional<std::uint64_t>(3));
    events.feed(bytes.substr(0, half));
    events.feed(bytes.substr(half));
}

}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    readRequest(bytes);
    readResponse(bytes);
    readInTwoParts(bytes);
    PlatformApi::readConfiguration(bytes);
    PlatformApi::readEndpoint("i-1", bytes);
    decodeGossip(bytes);
    return 0;
}
