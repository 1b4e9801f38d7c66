#include "adapters/peers/ReadingCodec.h"

#include "adapters/peers/PeerWire.h"

namespace teaselfold {

namespace {

    /** Keeps the datagram, including its IP and UDP headers, within one Ethernet frame. */
    constexpr std::size_t maxDatagramBytes = 1400;
    constexpr std::size_t minDatagramBytes = 16;

    flatbuffers::Offset<peerwire::EndpointEntry> encodeEndpoint(
        flatbuffers::FlatBufferBuilder& builder, const EndpointRecord& record)
    {
        const auto id = builder.CreateString(record.id.get());
        const auto service = builder.CreateSharedString(record.service.get());
        const auto host = builder.CreateString(record.address.host);
        const auto zone = builder.CreateSharedString(record.zone.get());
        const auto version = builder.CreateSharedString(record.version.get());
        return peerwire::CreateEndpointEntry(builder, id, service, host, record.address.port, zone, record.isDraining,
            static_cast<std::uint32_t>(record.coldRemaining.count()), record.slots,
            record.startedAt.time_since_epoch().count(), version);
    }

    flatbuffers::Offset<peerwire::Changes> encodeChanges(
        flatbuffers::FlatBufferBuilder& builder, const EndpointsChanged& changes)
    {
        std::vector<flatbuffers::Offset<peerwire::EndpointEntry>> changed;
        for (const EndpointRecord& record : changes.changed)
            changed.push_back(encodeEndpoint(builder, record));
        std::vector<flatbuffers::Offset<flatbuffers::String>> removed;
        for (const EndpointId& id : changes.removed)
            removed.push_back(builder.CreateString(id.get()));
        return peerwire::CreateChanges(builder, builder.CreateVector(changed), builder.CreateVector(removed));
    }

    std::string encode(const StoreReading& reading, const std::optional<EndpointsChanged>& changes)
    {
        flatbuffers::FlatBufferBuilder builder;
        const auto reader = builder.CreateString(reading.reader.get());
        const auto encodedChanges = changes ? encodeChanges(builder, *changes) : 0;
        const auto root = peerwire::CreateReading(builder, reader, static_cast<std::uint8_t>(reading.section),
            reading.previousChange.number, reading.lastChange.number, reading.completeUpTo.number,
            reading.asOf.time_since_epoch().count(), encodedChanges, reading.previousChange.era, reading.lastChange.era,
            reading.completeUpTo.era);
        builder.Finish(root, peerwire::ReadingIdentifier());
        return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
    }

    std::string textOf(const flatbuffers::String* text) { return text ? text->str() : std::string(); }

    EndpointRecord decodeEndpoint(const peerwire::EndpointEntry& entry)
    {
        EndpointRecord record;
        record.id = EndpointId(textOf(entry.id()));
        record.service = ServiceId(textOf(entry.service()));
        record.address = { textOf(entry.host()), entry.port() };
        record.zone = ZoneId(textOf(entry.zone()));
        record.isDraining = entry.draining();
        record.coldRemaining = Milliseconds(entry.cold_ms());
        record.slots = entry.slots();
        record.startedAt = WallTime(Milliseconds(entry.started_at_ms()));
        record.version = SoftwareVersion(textOf(entry.version()));
        return record;
    }

    EndpointsChanged decodeChanges(const peerwire::Changes& encoded)
    {
        EndpointsChanged changes;
        for (flatbuffers::uoffset_t index = 0; encoded.changed() && index < encoded.changed()->size(); ++index)
            changes.changed.push_back(decodeEndpoint(*encoded.changed()->Get(index)));
        for (flatbuffers::uoffset_t index = 0; encoded.removed() && index < encoded.removed()->size(); ++index)
            changes.removed.emplace_back(textOf(encoded.removed()->Get(index)));
        return changes;
    }

}

std::string encodeReading(const StoreReading& reading)
{
    std::string datagram = encode(reading, reading.changes);
    return datagram.size() <= maxDatagramBytes ? datagram : encode(reading, std::nullopt);
}

std::optional<StoreReading> decodeReading(std::string_view datagram)
{
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(datagram.data());
    flatbuffers::Verifier verifier(bytes, datagram.size());
    if (datagram.size() < minDatagramBytes || !peerwire::VerifyReadingBuffer(verifier))
        return std::nullopt;
    const auto* root = peerwire::GetReading(bytes);
    if (!root->reader() || root->section() >= storeSectionCount)
        return std::nullopt;
    StoreReading reading;
    reading.reader = GatewayId(root->reader()->str());
    reading.section = static_cast<StoreSection>(root->section());
    reading.previousChange = StoreVersion(root->previous_change(), root->previous_change_era());
    reading.lastChange = StoreVersion(root->last_change(), root->last_change_era());
    reading.completeUpTo = StoreVersion(root->complete_up_to(), root->complete_up_to_era());
    reading.asOf = StoreTime(Milliseconds(root->as_of_ms()));
    if (root->changes())
        reading.changes = decodeChanges(*root->changes());
    return reading;
}

}
