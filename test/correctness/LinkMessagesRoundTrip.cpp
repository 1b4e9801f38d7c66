#include "support/LinkFakes.h"
#include "support/LinkSamples.h"

using namespace teaselfold;

namespace {

std::string_view body(const std::string& frame) { return std::string_view(frame).substr(frameHeaderBytes); }

}

TEST_CASE("every message of both directions is unchanged after encoding and decoding")
{
    const Test::FakeDocumentCodec documents;
    const FrameCodec codec(documents);
    const auto entryMessages = Test::sampleEntryMessages();
    REQUIRE(entryMessages.size() == std::variant_size_v<EntryMessage>);
    for (std::size_t index = 0; index < entryMessages.size(); ++index) {
        REQUIRE(entryMessages[index].index() == index);
        const auto frame = codec.encode(entryMessages[index]);
        const auto decoded = codec.decodeEntryMessage(body(std::get<std::string>(frame)));
        CHECK(std::get<EntryMessage>(decoded) == entryMessages[index]);
    }
    const auto agentMessages = Test::sampleAgentMessages();
    REQUIRE(agentMessages.size() == std::variant_size_v<AgentMessage>);
    for (std::size_t index = 0; index < agentMessages.size(); ++index) {
        REQUIRE(agentMessages[index].index() == index);
        const auto frame = codec.encode(agentMessages[index]);
        const auto decoded = codec.decodeAgentMessage(body(std::get<std::string>(frame)));
        CHECK(std::get<AgentMessage>(decoded) == agentMessages[index]);
    }
}

TEST_CASE("a negative duration is sent as zero")
{
    const Test::FakeDocumentCodec documents;
    const FrameCodec codec(documents);
    const auto frame = codec.encode(EntryMessage(SubmitGeneration { GenerationId(1), {}, Milliseconds(-5) }));
    const auto decoded = codec.decodeEntryMessage(body(std::get<std::string>(frame)));
    CHECK(std::get<SubmitGeneration>(std::get<EntryMessage>(decoded)).budget == Milliseconds(0));
}
