#include "adapters/peers/GossipCodec.h"
#include "adapters/peers/ReadingCodec.h"
#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

StoreReading sampleReading(std::size_t endpoints)
{
    StoreReading reading { GatewayId("edge-1"), StoreSection::Endpoints, StoreVersion(7), StoreVersion(9),
        StoreVersion(12), StoreTime(Milliseconds(123456)), EndpointsChanged {} };
    for (std::size_t index = 0; index < endpoints; ++index) {
        EndpointRecord record = GatewayScenario::engineEndpoint("i-" + std::to_string(index));
        record.coldRemaining = Milliseconds(800);
        record.startedAt = WallTime(Milliseconds(1764800000000));
        record.isDraining = index % 2 == 1;
        reading.changes->changed.push_back(record);
    }
    reading.changes->removed.emplace_back("gone");
    return reading;
}

}

TEST_CASE("Announcements of store readings survive encoding and decoding")
{
    const StoreReading reading = sampleReading(3);
    CHECK(decodeReading(encodeReading(reading)) == reading);
}

TEST_CASE("Changes that do not fit into a datagram are left out, so that receivers read them from the store")
{
    const StoreReading reading = sampleReading(40);
    const std::string datagram = encodeReading(reading);
    CHECK(datagram.size() <= 1400);
    const auto decoded = decodeReading(datagram);
    REQUIRE(decoded);
    CHECK_FALSE(decoded->changes);
    CHECK(decoded->lastChange == reading.lastChange);
}

TEST_CASE("Damaged announcements are rejected, and neither kind of datagram is taken for the other")
{
    const std::string datagram = encodeReading(sampleReading(3));
    CHECK_FALSE(decodeGossip(datagram));
    CHECK_FALSE(decodeReading(encodeGossip({ GatewayId("edge-1"), Incarnation(1), 1, false, false, {}, {} })));
    // The last bytes may be padding, without which the announcement is still whole.
    for (std::size_t size = 0; size < datagram.size(); ++size) {
        const auto decoded = decodeReading(std::string_view(datagram).substr(0, size));
        CHECK((!decoded || *decoded == sampleReading(3)));
    }
}
