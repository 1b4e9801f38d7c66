#include "adapters/link/FrameBuffer.h"
#include "adapters/link/FrameCodec.h"
#include "support/FakeDocumentCodec.h"

#include <cstddef>
#include <cstdint>

using namespace teaselfold;

/** Decodes the bytes as one frame in both directions, and as a stream of frames from an entry. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    static const Test::FakeDocumentCodec documents;
    static const FrameCodec codec(documents);
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    (void)codec.decodeEntryMessage(bytes);
    (void)codec.decodeAgentMessage(bytes);
    FrameBuffer buffer(maximumHelloBytes);
    buffer.append(bytes);
    for (auto next = buffer.next(); std::holds_alternative<std::string>(next); next = buffer.next())
        (void)codec.decodeEntryMessage(std::get<std::string>(next));
    return 0;
}
