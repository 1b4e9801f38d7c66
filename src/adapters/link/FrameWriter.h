#pragma once

#include "adapters/link/WireMessages.h"
#include "ports/DocumentCodec.h"
#include "ports/LinkMessages.h"

#include <string>
#include <vector>

namespace teaselfold::Internal {

/** Longest duration in a message; longer ones are sent as this value. */
constexpr Milliseconds maxLinkDuration = std::chrono::hours(24 * 366);

/** Writes a single message into a FlatBuffer. Each message needs a new writer. */
class FrameWriter {
public:
    using Offset = flatbuffers::Offset<void>;

    explicit FrameWriter(const DocumentCodec& documents)
        : documents(documents)
    {
    }

    Offset entryHello(const EntryHello& message);
    Offset entryHeartbeat(const EntryHeartbeat& message);
    Offset submitGeneration(const SubmitGeneration& message);
    Offset cancelGeneration(const CancelGeneration& message);
    Offset resumeGeneration(const ResumeGeneration& message);
    Offset acknowledgeTokens(const AcknowledgeTokens& message);
    Offset submitCall(const SubmitCall& message);
    Offset fleetCopy(const FleetCopy& message);
    Offset noteDelivery(const NoteDelivery& message);
    Offset ordersDelivery(const OrdersDelivery& message);
    Offset quarantineDelivery(const QuarantineDelivery& message);
    Offset fleetRequest(const FleetRequest& message);
    Offset agentHello(const AgentHello& message);
    Offset loadReport(const LoadReport& message);
    Offset generationAccepted(const GenerationAccepted& message);
    Offset generationRefused(const GenerationRefused& message);
    Offset generationStarted(const GenerationStarted& message);
    Offset generationTokens(const GenerationTokens& message);
    Offset generationFinished(const GenerationFinished& message);
    Offset generationFailed(const GenerationFailed& message);
    Offset generationUnknown(const GenerationUnknown& message);
    Offset callAnswered(const CallAnswered& message);
    Offset callFailed(const CallFailed& message);

    /** Completes the frame. @return its bytes, valid during the writer's lifetime. */
    std::string_view finish(wire::Message type, Offset message);

private:
    flatbuffers::Offset<flatbuffers::String> text(const std::string& value);
    flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> bytes(const std::string& value);
    flatbuffers::Offset<wire::Work> work(const CompletionWork& value);
    flatbuffers::Offset<wire::Call> call(const ServiceWork& value);
    flatbuffers::Offset<wire::Order> order(const ServiceOrder& value);
    flatbuffers::Offset<wire::Failure> failure(const Failure& value);
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::Header>>> headers(
        const std::vector<Header>& values);

    const DocumentCodec& documents;
    flatbuffers::FlatBufferBuilder builder;
};

}
