#include "adapters/link/FrameWriter.h"
#include "support/LinkFakes.h"
#include "support/LinkSamples.h"

#include <rapidcheck.h>

using namespace teaselfold;

namespace {

const Test::FakeDocumentCodec documents;
const FrameCodec codec(documents);

std::string bodyOf(const std::variant<std::string, FrameError>& frame)
{
    return std::get<std::string>(frame).substr(frameHeaderBytes);
}

/** Decodes a frame in both directions. Only a crash is a failure, so the result is ignored. */
void decodeBoth(std::string_view frame)
{
    (void)codec.decodeEntryMessage(frame);
    (void)codec.decodeAgentMessage(frame);
}

std::vector<std::string> allFrames()
{
    std::vector<std::string> frames;
    for (const EntryMessage& message : Test::sampleEntryMessages())
        frames.push_back(bodyOf(codec.encode(message)));
    for (const AgentMessage& message : Test::sampleAgentMessages())
        frames.push_back(bodyOf(codec.encode(message)));
    return frames;
}

template <typename Table> FrameError decodeGenerationRefused(flatbuffers::FlatBufferBuilder& builder, Table table)
{
    builder.Finish(wire::CreateFrame(builder, wire::Message::GenerationRefused, table.Union()));
    const std::string_view frame(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
    return std::get<FrameError>(codec.decodeAgentMessage(frame));
}

}

TEST_CASE("decoding random bytes does not crash")
{
    CHECK(rc::check([](const std::string& bytes) { decodeBoth(bytes); }));
    CHECK(std::get<FrameError>(codec.decodeEntryMessage("")) == FrameError::Malformed);
}

TEST_CASE("decoding a truncated frame or one with a flipped bit does not crash")
{
    for (const std::string& frame : allFrames()) {
        for (std::size_t size = 0; size < frame.size(); ++size)
            decodeBoth(std::string_view(frame).substr(0, size));
        for (std::size_t bit = 0; bit < frame.size() * 8; ++bit) {
            std::string damaged = frame;
            damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << (bit % 8)));
            decodeBoth(damaged);
        }
    }
}

TEST_CASE("a message of the other direction is rejected")
{
    const std::string report = bodyOf(codec.encode(AgentMessage(LoadReport {})));
    CHECK(std::get<FrameError>(codec.decodeEntryMessage(report)) == FrameError::UnexpectedMessage);
    const std::string cancel = bodyOf(codec.encode(EntryMessage(CancelGeneration {})));
    CHECK(std::get<FrameError>(codec.decodeAgentMessage(cancel)) == FrameError::UnexpectedMessage);
}

TEST_CASE("a value outside its enumeration or range is rejected")
{
    flatbuffers::FlatBufferBuilder badCode;
    CHECK(decodeGenerationRefused(badCode, wire::CreateGenerationRefused(badCode, 1, 200, 0))
        == FrameError::ValueOutOfRange);
    flatbuffers::FlatBufferBuilder badDuration;
    const auto refused = wire::CreateGenerationRefused(badDuration, 1, 0, UINT64_MAX);
    CHECK(decodeGenerationRefused(badDuration, refused) == FrameError::ValueOutOfRange);
}

TEST_CASE("a frame without a message and an invalid document are rejected")
{
    flatbuffers::FlatBufferBuilder empty;
    empty.Finish(wire::CreateFrame(empty));
    const std::string_view frame(reinterpret_cast<const char*>(empty.GetBufferPointer()), empty.GetSize());
    CHECK(std::get<FrameError>(codec.decodeEntryMessage(frame)) == FrameError::Malformed);
    flatbuffers::FlatBufferBuilder builder;
    const auto copy = wire::CreateFleetCopyDirect(builder, "not a fleet");
    builder.Finish(wire::CreateFrame(builder, wire::Message::FleetCopy, copy.Union()));
    const std::string_view document(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
    CHECK(std::get<FrameError>(codec.decodeEntryMessage(document)) == FrameError::BadDocument);
}

TEST_CASE("a frame that refers to one text many times is rejected before it exhausts memory")
{
    flatbuffers::FlatBufferBuilder builder;
    const auto text = builder.CreateString(std::string(10000, 'x'));
    const std::vector<flatbuffers::Offset<flatbuffers::String>> many(10000, text);
    const auto tokens = wire::CreateGenerationTokens(builder, 1, 0, builder.CreateVector(many));
    builder.Finish(wire::CreateFrame(builder, wire::Message::GenerationTokens, tokens.Union()));
    const std::string_view frame(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
    CHECK(std::get<FrameError>(codec.decodeAgentMessage(frame)) == FrameError::Malformed);
}

TEST_CASE("a message larger than the largest frame is not encoded")
{
    SubmitGeneration submit;
    submit.work.prompt.assign(maximumFrameBytes, 'x');
    CHECK(std::get<FrameError>(codec.encode(EntryMessage(submit))) == FrameError::TooLarge);
}
