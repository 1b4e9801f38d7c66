#include "adapters/link/FrameWriter.h"

#include <algorithm>

namespace teaselfold::Internal {

namespace {

    std::uint64_t toWireMilliseconds(Milliseconds duration)
    {
        return static_cast<std::uint64_t>(std::clamp(duration, Milliseconds(0), maxLinkDuration).count());
    }

    std::uint64_t toWireMicroseconds(Microseconds duration)
    {
        return static_cast<std::uint64_t>(std::clamp(duration, Microseconds(0), Microseconds(maxLinkDuration)).count());
    }

    template <typename Enumeration> std::uint8_t toWireEnumeration(Enumeration value)
    {
        return static_cast<std::uint8_t>(value);
    }

}

std::string_view FrameWriter::finish(wire::Message type, Offset message)
{
    this->builder.Finish(wire::CreateFrame(this->builder, type, message));
    return { reinterpret_cast<const char*>(this->builder.GetBufferPointer()), this->builder.GetSize() };
}

flatbuffers::Offset<flatbuffers::String> FrameWriter::text(const std::string& value)
{
    return this->builder.CreateString(value);
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> FrameWriter::bytes(const std::string& value)
{
    return this->builder.CreateVector(reinterpret_cast<const std::uint8_t*>(value.data()), value.size());
}

flatbuffers::Offset<wire::Work> FrameWriter::work(const CompletionWork& value)
{
    const auto team = this->text(value.team.get());
    const auto model = this->text(value.model.get());
    const auto adapter = this->text(value.adapter);
    const auto prompt = this->text(value.prompt);
    return wire::CreateWork(this->builder, team, model, adapter, prompt, value.maxTokens,
        toWireEnumeration(value.priority), value.fingerprint.get());
}

flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::Header>>> FrameWriter::headers(
    const std::vector<Header>& values)
{
    std::vector<flatbuffers::Offset<wire::Header>> offsets;
    offsets.reserve(values.size());
    for (const Header& header : values) {
        const auto name = this->text(header.name);
        const auto value = this->text(header.value);
        offsets.push_back(wire::CreateHeader(this->builder, name, value));
    }
    return this->builder.CreateVector(offsets);
}

flatbuffers::Offset<wire::Call> FrameWriter::call(const ServiceWork& value)
{
    const auto team = this->text(value.team.get());
    const auto service = this->text(value.service.get());
    const auto method = this->text(value.method);
    const auto path = this->text(value.path);
    const auto headerList = this->headers(value.headers);
    const auto body = this->bytes(value.body);
    const auto key = this->text(value.key.get());
    return wire::CreateCall(
        this->builder, team, service, method, path, headerList, body, key, value.atMostOnce, value.fingerprint.get());
}

flatbuffers::Offset<wire::Order> FrameWriter::order(const ServiceOrder& value)
{
    const auto subject
        = this->text(std::visit([](const auto& id) -> const std::string& { return id.get(); }, value.subject));
    const auto id = this->text(value.id.get());
    const auto author = this->text(value.author);
    const auto reason = this->text(value.reason);
    return wire::CreateOrder(this->builder, std::holds_alternative<ZoneId>(value.subject), subject, value.sequence,
        value.out, id, author, reason, value.recorded);
}

flatbuffers::Offset<wire::Failure> FrameWriter::failure(const Failure& value)
{
    const auto message = this->text(value.message);
    return wire::CreateFailure(this->builder, toWireEnumeration(value.code), message, toWireEnumeration(value.run),
        toWireMilliseconds(value.retryAfter));
}

FrameWriter::Offset FrameWriter::entryHello(const EntryHello& message)
{
    return wire::CreateEntryHello(this->builder, this->text(message.entry.get())).Union();
}

FrameWriter::Offset FrameWriter::entryHeartbeat(const EntryHeartbeat& message)
{
    return wire::CreateEntryHeartbeat(this->builder, message.release.get(), message.ordersDigest).Union();
}

FrameWriter::Offset FrameWriter::submitGeneration(const SubmitGeneration& message)
{
    const auto work = this->work(message.work);
    return wire::CreateSubmitGeneration(
        this->builder, message.generation.get(), work, toWireMilliseconds(message.budget))
        .Union();
}

FrameWriter::Offset FrameWriter::cancelGeneration(const CancelGeneration& message)
{
    return wire::CreateCancelGeneration(this->builder, message.generation.get()).Union();
}

FrameWriter::Offset FrameWriter::resumeGeneration(const ResumeGeneration& message)
{
    const auto team = this->text(message.team.get());
    return wire::CreateResumeGeneration(this->builder, message.generation.get(), team, message.nextIndex).Union();
}

FrameWriter::Offset FrameWriter::acknowledgeTokens(const AcknowledgeTokens& message)
{
    return wire::CreateAcknowledgeTokens(this->builder, message.generation.get(), message.nextIndex).Union();
}

FrameWriter::Offset FrameWriter::submitCall(const SubmitCall& message)
{
    const auto work = this->call(message.work);
    return wire::CreateSubmitCall(this->builder, message.call.get(), work, toWireMilliseconds(message.budget)).Union();
}

FrameWriter::Offset FrameWriter::fleetCopy(const FleetCopy& message)
{
    return wire::CreateFleetCopy(this->builder, this->text(this->documents.encodeFleet(message.fleet))).Union();
}

FrameWriter::Offset FrameWriter::noteDelivery(const NoteDelivery& message)
{
    const auto document = this->text(this->documents.encodeNote(message.note));
    return wire::CreateNoteDelivery(this->builder, message.version.get(), document).Union();
}

FrameWriter::Offset FrameWriter::ordersDelivery(const OrdersDelivery& message)
{
    std::vector<flatbuffers::Offset<wire::Order>> offsets;
    offsets.reserve(message.orders.size());
    for (const ServiceOrder& order : message.orders)
        offsets.push_back(this->order(order));
    return wire::CreateOrdersDelivery(this->builder, this->builder.CreateVector(offsets)).Union();
}

FrameWriter::Offset FrameWriter::quarantineDelivery(const QuarantineDelivery& message)
{
    std::vector<flatbuffers::Offset<wire::Suspect>> offsets;
    offsets.reserve(message.suspects.size());
    for (const auto& suspect : message.suspects)
        offsets.push_back(wire::CreateSuspect(
            this->builder, suspect.fingerprint.get(), suspect.deaths, toWireMilliseconds(suspect.remaining)));
    return wire::CreateQuarantineDelivery(this->builder, this->builder.CreateVector(offsets)).Union();
}

FrameWriter::Offset FrameWriter::fleetRequest(const FleetRequest&)
{
    return wire::CreateFleetRequest(this->builder).Union();
}

FrameWriter::Offset FrameWriter::agentHello(const AgentHello& message)
{
    const auto endpoint = this->text(message.endpoint.get());
    return wire::CreateAgentHello(this->builder, endpoint, message.incarnation.get()).Union();
}

FrameWriter::Offset FrameWriter::loadReport(const LoadReport& message)
{
    return wire::CreateLoadReport(this->builder, message.release.get(), message.ordersDigest, message.running,
        message.queued, message.room, message.memoryPermille, toWireMicroseconds(message.pace),
        toWireMilliseconds(message.expectedWait), message.cold, message.leaving)
        .Union();
}

FrameWriter::Offset FrameWriter::generationAccepted(const GenerationAccepted& message)
{
    return wire::CreateGenerationAccepted(this->builder, message.generation.get()).Union();
}

FrameWriter::Offset FrameWriter::generationRefused(const GenerationRefused& message)
{
    return wire::CreateGenerationRefused(this->builder, message.generation.get(), toWireEnumeration(message.code),
        toWireMilliseconds(message.retryAfter))
        .Union();
}

FrameWriter::Offset FrameWriter::generationStarted(const GenerationStarted& message)
{
    return wire::CreateGenerationStarted(this->builder, message.generation.get()).Union();
}

FrameWriter::Offset FrameWriter::generationTokens(const GenerationTokens& message)
{
    std::vector<flatbuffers::Offset<flatbuffers::String>> offsets;
    offsets.reserve(message.texts.size());
    for (const std::string& token : message.texts)
        offsets.push_back(this->text(token));
    const auto texts = this->builder.CreateVector(offsets);
    return wire::CreateGenerationTokens(this->builder, message.generation.get(), message.firstIndex, texts).Union();
}

FrameWriter::Offset FrameWriter::generationFinished(const GenerationFinished& message)
{
    return wire::CreateGenerationFinished(
        this->builder, message.generation.get(), message.tokenCount, toWireEnumeration(message.reason))
        .Union();
}

FrameWriter::Offset FrameWriter::generationFailed(const GenerationFailed& message)
{
    const auto failure = this->failure(message.failure);
    return wire::CreateGenerationFailed(this->builder, message.generation.get(), failure).Union();
}

FrameWriter::Offset FrameWriter::generationUnknown(const GenerationUnknown& message)
{
    return wire::CreateGenerationUnknown(this->builder, message.generation.get()).Union();
}

FrameWriter::Offset FrameWriter::callAnswered(const CallAnswered& message)
{
    const auto headerList = this->headers(message.headers);
    const auto body = this->bytes(message.body);
    return wire::CreateCallAnswered(
        this->builder, message.call.get(), message.status, headerList, body, message.replayed)
        .Union();
}

FrameWriter::Offset FrameWriter::callFailed(const CallFailed& message)
{
    const auto failure = this->failure(message.failure);
    return wire::CreateCallFailed(this->builder, message.call.get(), failure).Union();
}

}
