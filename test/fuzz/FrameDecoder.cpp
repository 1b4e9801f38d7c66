#include "adapters/link/FrameBuffer.h"
#include "adapters/link/FrameCodec.h"
#include "support/FakeDocuments.h"

#include <cstddef>
#include <cstdint>

using namespace teaselfold;

/** Feeds the bytes to the decoders of both directions, as one frame and as a stream. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    static const Test::FakeDocuments documents;
    static const FrameCodec codec(documents);
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    (void)codec.decodeEntry(bytes);
    (void)codec.decodeAgent(bytes);
    FrameBuffer buffer(maximumHelloBytes);
    buffer.append(bytes);
    for (auto next = buffer.next(); std::holds_alternative<std::string>(next); next = buffer.next())
        (void)codec.decodeEntry(std::get<std::string>(next));
    return 0;
}
