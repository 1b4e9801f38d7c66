#include "support/LinkFakes.h"
#include "support/LinkSamples.h"

#include <rapidcheck.h>

using namespace teaselfold;

namespace {

/** @return the frames of a stream that is received in pieces of the given sizes. */
std::vector<std::string> split(const std::string& stream, const std::vector<std::size_t>& pieces)
{
    FrameBuffer buffer(maximumFrameBytes);
    std::vector<std::string> frames;
    std::size_t position = 0;
    for (std::size_t pieceIndex = 0; position < stream.size(); ++pieceIndex) {
        const std::size_t size = pieces.empty() ? 1 : pieces[pieceIndex % pieces.size()];
        buffer.append(std::string_view(stream).substr(position, size));
        position += size;
        auto next = buffer.next();
        for (; std::holds_alternative<std::string>(next); next = buffer.next())
            frames.push_back(std::get<std::string>(next));
    }
    return frames;
}

}

TEST_CASE("a stream yields the same frames however it is split into pieces")
{
    const Test::FakeDocumentCodec documents;
    const FrameCodec codec(documents);
    std::string stream;
    std::vector<std::string> expected;
    for (const EntryMessage& message : Test::sampleEntryMessages()) {
        const auto frame = std::get<std::string>(codec.encode(message));
        expected.push_back(frame.substr(frameHeaderBytes));
        stream += frame;
    }
    CHECK(rc::check([&] {
        const auto pieces = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 300));
        RC_ASSERT(split(stream, pieces) == expected);
    }));
}

TEST_CASE("a frame over the size limit is rejected before its body arrives")
{
    FrameBuffer buffer(8);
    buffer.append(std::string("\x09\x00\x00\x00", 4));
    CHECK(std::get<FrameError>(buffer.next()) == FrameError::TooLarge);
}
