#include "adapters/peers/GossipCodec.h"
#include "adapters/peers/ReadingCodec.h"
#include "platform/ConfigurationReader.h"
#include "platform/RolloutRows.h"
#include "platform/TableTranslator.h"
#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

const ServiceId service("plain");

PlatformApi::StoreRow rowOf(const std::string& key, const std::string& value)
{
    return { key, value, false, StoreVersion(1) };
}

const RolloutOrdersRead* ordersIn(const std::vector<GatewayEvent>& events)
{
    for (const GatewayEvent& event : events) {
        if (const auto* orders = std::get_if<RolloutOrdersRead>(&event))
            return orders;
    }
    return nullptr;
}

}

TEST_CASE("An order names its service, version and duration; without a usable duration it has none")
{
    const auto order = PlatformApi::readRolloutOrder(service, R"({"service":"plain","to":"v2","durationS":12.5})");
    CHECK(order == RolloutOrder { service, SoftwareVersion("v2"), Milliseconds(12500) });
    for (const char* duration : { "0", "-3", "\"12\"", "null", "1e300", "99999999999" }) {
        CAPTURE(duration);
        const auto odd = PlatformApi::readRolloutOrder(
            service, R"({"service":"plain","to":"v2","durationS":)" + std::string(duration) + "}");
        REQUIRE(odd);
        CHECK(odd->duration == Milliseconds(0));
    }
}

TEST_CASE("Rows that name no version, or another service than their key, are no orders")
{
    for (const char* text : { "", "{", "[]", "{}", R"({"service":"plain","to":""})", R"({"service":"plain","to":7})",
             R"({"service":"other","to":"v2","durationS":12})", R"({"service":3,"to":"v2","durationS":12})" }) {
        CAPTURE(text);
        CHECK_FALSE(PlatformApi::readRolloutOrder(service, text));
    }
}

TEST_CASE("A record survives writing and reading, and the operator's row holds state and version")
{
    const RolloutRecord record { service, SoftwareVersion("v2"), { SoftwareVersion("v1"), SoftwareVersion("v0") },
        RolloutState::Reverted, StoreTime(Milliseconds(123456789)) };
    CHECK(PlatformApi::readRolloutRecord(service, PlatformApi::writeRolloutRecord(record)) == record);
    CHECK(PlatformApi::writeRolloutStatus(record) == R"({"state":"reverted","to":"v2"})");
    for (const char* text :
        { "", "{}", R"({"to":"v2","state":"done","orderedAtMs":1})", R"({"to":"v2","state":"reverted"})" })
        CHECK_FALSE(PlatformApi::readRolloutRecord(service, text));
}

TEST_CASE("The operators' table yields the complete list of orders when one changes")
{
    OperatorTableTranslator translator;
    CHECK_FALSE(ordersIn(translator.snapshotEvents({})));
    const auto first = translator.changeEvents({ rowOf("rollout/plain", R"({"to":"v2","durationS":12})") });
    REQUIRE(ordersIn(first));
    CHECK(ordersIn(first)->orders.size() == 1);
    const auto second = translator.changeEvents({ rowOf("rollout/engines", "?") });
    REQUIRE(ordersIn(second));
    CHECK(ordersIn(second)->orders.size() == 1);
    CHECK(ordersIn(second)->malformed == std::vector<std::string> { "rollout/engines" });
    const auto third = translator.changeEvents({ { "rollout/plain", "", true, StoreVersion(3) } });
    REQUIRE(ordersIn(third));
    CHECK(ordersIn(third)->orders.empty());
    // The rows disappeared while the history was gone.
    const auto listed = translator.snapshotEvents({});
    REQUIRE(ordersIn(listed));
    CHECK(ordersIn(listed)->malformed.empty());
}

TEST_CASE("An endpoint's version is read and announced to other gateways")
{
    const auto record = PlatformApi::readEndpoint("i-1",
        R"({"service":"plain","address":"10.0.0.1:80","zone":"north","version":"v7","slots":4,"state":"ready","coldLeftMs":0,"seqNo":1})");
    REQUIRE(record);
    CHECK(record->version == SoftwareVersion("v7"));
    const StoreReading reading { GatewayId("edge-1"), StoreSection::Endpoints, StoreVersion(7), StoreVersion(9),
        StoreVersion(12), StoreTime(Milliseconds(123456)), EndpointsChanged { { *record }, {} } };
    CHECK(decodeReading(encodeReading(reading)) == reading);
}

TEST_CASE("Gossip carries what a gateway knows of a roll-out, within one Ethernet frame")
{
    GossipMessage message { GatewayId("edge-1"), Incarnation(3), 4, false, false, {}, {} };
    for (std::uint32_t index = 0; index < 48; ++index)
        message.usages.push_back({ index + 1, 1, 100000 - index, 1 });
    RolloutReport report { 77, RolloutSignal::Condemned, true, Milliseconds(4321), 200, 12, 3, {} };
    for (std::uint32_t index = 0; index < 20; ++index)
        report.counts.push_back({ index, 9, 30, 2, 5, Milliseconds(1234) });
    message.rollouts.push_back(report);
    const std::string datagram = encodeGossip(message);
    CHECK(datagram.size() <= 1400);
    const auto decoded = decodeGossip(datagram);
    REQUIRE(decoded);
    CHECK(decoded->rollouts == message.rollouts);
}
