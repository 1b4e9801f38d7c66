#include "adapters/link/FrameCodec.h"

#include "adapters/link/FrameReader.h"
#include "adapters/link/FrameWriter.h"
#include "core/common/HandlerTable.h"

#include <array>
#include <cstring>
#include <vector>

namespace teaselfold {

namespace {

    using Internal::FrameReader;
    using Internal::FrameWriter;

    constexpr std::size_t wireMessageCount = static_cast<std::size_t>(wire::Message::MAX) + 1;
    /** Alignment that the FlatBuffers accessors require. */
    constexpr std::size_t frameAlignment = 8;

    const HandlerTable<FrameWriter, FrameWriter::Offset, EntryMessage> entryWriters(&FrameWriter::entryHello,
        &FrameWriter::entryHeartbeat, &FrameWriter::submitGeneration, &FrameWriter::cancelGeneration,
        &FrameWriter::resumeGeneration, &FrameWriter::acknowledgeTokens, &FrameWriter::submitCall,
        &FrameWriter::fleetCopy, &FrameWriter::noteDelivery, &FrameWriter::ordersDelivery,
        &FrameWriter::quarantineDelivery, &FrameWriter::fleetRequest);

    constexpr std::array entryTypes { wire::Message::EntryHello, wire::Message::EntryHeartbeat,
        wire::Message::SubmitGeneration, wire::Message::CancelGeneration, wire::Message::ResumeGeneration,
        wire::Message::AcknowledgeTokens, wire::Message::SubmitCall, wire::Message::FleetCopy,
        wire::Message::NoteDelivery, wire::Message::OrdersDelivery, wire::Message::QuarantineDelivery,
        wire::Message::FleetRequest };
    static_assert(entryTypes.size() == std::variant_size_v<EntryMessage>);

    const HandlerTable<FrameWriter, FrameWriter::Offset, AgentMessage> agentWriters(&FrameWriter::agentHello,
        &FrameWriter::loadReport, &FrameWriter::generationAccepted, &FrameWriter::generationRefused,
        &FrameWriter::generationStarted, &FrameWriter::generationTokens, &FrameWriter::generationFinished,
        &FrameWriter::generationFailed, &FrameWriter::generationUnknown, &FrameWriter::callAnswered,
        &FrameWriter::callFailed, &FrameWriter::fleetCopy, &FrameWriter::noteDelivery, &FrameWriter::ordersDelivery,
        &FrameWriter::quarantineDelivery);

    constexpr std::array agentTypes { wire::Message::AgentHello, wire::Message::LoadReport,
        wire::Message::GenerationAccepted, wire::Message::GenerationRefused, wire::Message::GenerationStarted,
        wire::Message::GenerationTokens, wire::Message::GenerationFinished, wire::Message::GenerationFailed,
        wire::Message::GenerationUnknown, wire::Message::CallAnswered, wire::Message::CallFailed,
        wire::Message::FleetCopy, wire::Message::NoteDelivery, wire::Message::OrdersDelivery,
        wire::Message::QuarantineDelivery };
    static_assert(agentTypes.size() == std::variant_size_v<AgentMessage>);

    /** Reads one union member; null if the member is not sent in this direction. */
    template <typename Message> using Reader = Message (*)(FrameReader&, const void*);
    template <typename Message> using ReaderTable = std::array<Reader<Message>, wireMessageCount>;

    template <typename Message, typename Wire> Message readAs(FrameReader& reader, const void* table)
    {
        return reader.read(*static_cast<const Wire*>(table));
    }

    template <typename Message, typename... Wires> constexpr ReaderTable<Message> readersOf()
    {
        ReaderTable<Message> table {};
        ((table[static_cast<std::size_t>(wire::MessageTraits<Wires>::enum_value)] = &readAs<Message, Wires>), ...);
        return table;
    }

    constexpr auto entryReaders
        = readersOf<EntryMessage, wire::EntryHello, wire::EntryHeartbeat, wire::SubmitGeneration,
            wire::CancelGeneration, wire::ResumeGeneration, wire::AcknowledgeTokens, wire::SubmitCall, wire::FleetCopy,
            wire::NoteDelivery, wire::OrdersDelivery, wire::QuarantineDelivery, wire::FleetRequest>();

    constexpr auto agentReaders = readersOf<AgentMessage, wire::AgentHello, wire::LoadReport, wire::GenerationAccepted,
        wire::GenerationRefused, wire::GenerationStarted, wire::GenerationTokens, wire::GenerationFinished,
        wire::GenerationFailed, wire::GenerationUnknown, wire::CallAnswered, wire::CallFailed, wire::FleetCopy,
        wire::NoteDelivery, wire::OrdersDelivery, wire::QuarantineDelivery>();

    std::variant<std::string, FrameError> withLengthPrefix(std::string_view frame)
    {
        if (frame.size() > maximumFrameBytes)
            return FrameError::TooLarge;
        std::string bytes;
        bytes.reserve(frameHeaderBytes + frame.size());
        for (std::size_t index = 0; index < frameHeaderBytes; ++index)
            bytes.push_back(static_cast<char>((frame.size() >> (8 * index)) & 0xff));
        bytes.append(frame);
        return bytes;
    }

    template <typename Message>
    std::variant<Message, FrameError> decodeAligned(
        const std::uint8_t* data, std::size_t size, const DocumentCodec& documents, const ReaderTable<Message>& readers)
    {
        flatbuffers::Verifier verifier(data, size);
        if (!wire::VerifyFrameBuffer(verifier))
            return FrameError::Malformed;
        const wire::Frame* frame = wire::GetFrame(data);
        if (!frame->message())
            return FrameError::Malformed;
        const auto type = static_cast<std::size_t>(frame->message_type());
        if (type >= readers.size() || !readers[type])
            return FrameError::UnexpectedMessage;
        FrameReader reader(documents, size);
        Message message = readers[type](reader, frame->message());
        if (reader.error())
            return *reader.error();
        return message;
    }

    template <typename Message>
    std::variant<Message, FrameError> decode(
        std::string_view frame, const DocumentCodec& documents, const ReaderTable<Message>& readers)
    {
        if (frame.size() > maximumFrameBytes)
            return FrameError::TooLarge;
        if (reinterpret_cast<std::uintptr_t>(frame.data()) % frameAlignment == 0)
            return decodeAligned(reinterpret_cast<const std::uint8_t*>(frame.data()), frame.size(), documents, readers);
        std::vector<std::uint64_t> aligned(frame.size() / frameAlignment + 1);
        std::memcpy(aligned.data(), frame.data(), frame.size());
        return decodeAligned(reinterpret_cast<const std::uint8_t*>(aligned.data()), frame.size(), documents, readers);
    }

}

std::string_view frameErrorName(FrameError error)
{
    constexpr std::array names { std::string_view("too_large"), std::string_view("malformed"),
        std::string_view("unexpected_message"), std::string_view("value_out_of_range"),
        std::string_view("bad_document") };
    return names[static_cast<std::size_t>(error)];
}

std::variant<std::string, FrameError> FrameCodec::encode(const EntryMessage& message) const
{
    FrameWriter writer(this->documents);
    const auto offset = entryWriters.dispatch(writer, message);
    return withLengthPrefix(writer.finish(entryTypes[message.index()], offset));
}

std::variant<std::string, FrameError> FrameCodec::encode(const AgentMessage& message) const
{
    FrameWriter writer(this->documents);
    const auto offset = agentWriters.dispatch(writer, message);
    return withLengthPrefix(writer.finish(agentTypes[message.index()], offset));
}

std::variant<EntryMessage, FrameError> FrameCodec::decodeEntryMessage(std::string_view frame) const
{
    return decode<EntryMessage>(frame, this->documents, entryReaders);
}

std::variant<AgentMessage, FrameError> FrameCodec::decodeAgentMessage(std::string_view frame) const
{
    return decode<AgentMessage>(frame, this->documents, agentReaders);
}

}
