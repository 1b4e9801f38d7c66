#pragma once

#include "adapters/link/FrameCodec.h"
#include "adapters/link/WireMessages.h"

#include <optional>

namespace teaselfold::Internal {

/**
 * Reads one verified message. A fault is remembered, not thrown: the value read is then meaningless.
 * The text read is bounded by the frame's size, since hostile frames may refer to one text many times.
 */
class FrameReader {
public:
    /** @param frameBytes size of the verified frame. */
    FrameReader(const DocumentCodec& documents, std::size_t frameBytes)
        : documents(documents)
        , textBytesLeft(frameBytes)
    {
    }

    EntryHello read(const wire::EntryHello& message);
    EntryHeartbeat read(const wire::EntryHeartbeat& message);
    SubmitGeneration read(const wire::SubmitGeneration& message);
    CancelGeneration read(const wire::CancelGeneration& message);
    ResumeGeneration read(const wire::ResumeGeneration& message);
    AcknowledgeTokens read(const wire::AcknowledgeTokens& message);
    SubmitCall read(const wire::SubmitCall& message);
    FleetCopy read(const wire::FleetCopy& message);
    NoteDelivery read(const wire::NoteDelivery& message);
    OrdersDelivery read(const wire::OrdersDelivery& message);
    QuarantineDelivery read(const wire::QuarantineDelivery& message);
    FleetRequest read(const wire::FleetRequest& message);
    AgentHello read(const wire::AgentHello& message);
    LoadReport read(const wire::LoadReport& message);
    GenerationAccepted read(const wire::GenerationAccepted& message);
    GenerationRefused read(const wire::GenerationRefused& message);
    GenerationStarted read(const wire::GenerationStarted& message);
    GenerationTokens read(const wire::GenerationTokens& message);
    GenerationFinished read(const wire::GenerationFinished& message);
    GenerationFailed read(const wire::GenerationFailed& message);
    GenerationUnknown read(const wire::GenerationUnknown& message);
    CallAnswered read(const wire::CallAnswered& message);
    CallFailed read(const wire::CallFailed& message);

    /** @return the first fault met, if any. */
    std::optional<FrameError> fault() const { return this->firstFault; }

private:
    using HeaderVector = flatbuffers::Vector<flatbuffers::Offset<wire::Header>>;

    std::string text(const flatbuffers::String* value);
    std::string bytes(const flatbuffers::Vector<std::uint8_t>* value);
    bool charge(std::size_t size);
    Milliseconds milliseconds(std::uint64_t value);
    Microseconds microseconds(std::uint64_t value);
    template <typename Enumeration> Enumeration enumeration(std::uint8_t value, Enumeration last);
    CompletionWork work(const wire::Work* value);
    ServiceWork call(const wire::Call* value);
    ServiceOrder order(const wire::Order& value);
    Failure failure(const wire::Failure* value);
    std::vector<Header> headers(const HeaderVector* values);
    void fail(FrameError error);

    const DocumentCodec& documents;
    std::size_t textBytesLeft;
    std::optional<FrameError> firstFault;
};

}
