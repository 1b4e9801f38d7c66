#pragma once

#include "adapters/link/FrameCodec.h"
#include "adapters/link/WireMessages.h"

#include <optional>

namespace teaselfold::Internal {

/**
 * Converts one verified wire message into a message struct. Errors are recorded rather than thrown; after an error the
 * content of the struct is unspecified. The total size of the texts read is limited to the frame's size, because a
 * hostile frame may refer to one text many times.
 */
class FrameReader {
public:
    /** @param frameBytes size of the verified frame, the limit of the texts read. */
    FrameReader(const DocumentCodec& documents, std::size_t frameBytes)
        : documents(documents)
        , remainingTextBytes(frameBytes)
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

    /** @return the first error, if any. */
    std::optional<FrameError> error() const { return this->firstError; }

private:
    using HeaderVector = flatbuffers::Vector<flatbuffers::Offset<wire::Header>>;

    std::string text(const flatbuffers::String* value);
    std::string bytes(const flatbuffers::Vector<std::uint8_t>* value);
    /** Deducts the size of a text from the remaining budget. @return false when the limit is exceeded. */
    bool consumeTextBudget(std::size_t size);
    Milliseconds milliseconds(std::uint64_t value);
    Microseconds microseconds(std::uint64_t value);
    template <typename Enumeration> Enumeration enumeration(std::uint8_t value, Enumeration last);
    CompletionWork work(const wire::Work* value);
    ServiceWork call(const wire::Call* value);
    ServiceOrder order(const wire::Order& value);
    Failure failure(const wire::Failure* value);
    std::vector<Header> headers(const HeaderVector* values);
    void recordError(FrameError error);

    const DocumentCodec& documents;
    std::size_t remainingTextBytes;
    std::optional<FrameError> firstError;
};

}
