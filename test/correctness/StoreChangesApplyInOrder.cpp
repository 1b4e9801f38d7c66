#include "platform/TableTranslator.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

constexpr const char* readyRecord
    = R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"seqNo":1})";

PlatformApi::StoreRow row(const std::string& key, const std::string& value) { return { key, value, false }; }

PlatformApi::StoreRow deletedRow(const std::string& key) { return { key, "", true }; }

EndpointsChanged changesOf(const std::vector<PlatformApi::StoreRow>& rows)
{
    EndpointTableTranslator translator;
    const auto events = translator.changeEvents(rows);
    REQUIRE(events.size() == 1);
    return std::get<EndpointsChanged>(events.front());
}

}

TEST_CASE("An endpoint deleted and registered again within one response is kept")
{
    const auto changes = changesOf({ deletedRow("i-1"), row("i-1", readyRecord) });
    CHECK(changes.changed.size() == 1);
    CHECK(changes.removed.empty());
}

TEST_CASE("An endpoint registered and deleted within one response is removed")
{
    const auto changes = changesOf({ row("i-1", readyRecord), deletedRow("i-1") });
    CHECK(changes.changed.empty());
    CHECK(changes.removed == std::vector { EndpointId("i-1") });
}

TEST_CASE("An endpoint whose record becomes malformed is removed")
{
    CHECK(changesOf({ row("i-1", readyRecord), row("i-1", "noise") }).removed == std::vector { EndpointId("i-1") });
}

TEST_CASE("Changes of the zones out of service apply in row order")
{
    OperatorTableTranslator translator;
    const auto events
        = translator.changeEvents({ row("evacuate/a", "{}"), row("evacuate/b", "{}"), deletedRow("evacuate/a") });
    REQUIRE(events.size() == 1);
    CHECK(std::get<OutOfServiceZonesRead>(events.front()).zones == std::set { ZoneId("b") });
}

TEST_CASE("A gateway's row holds its address and zone, and rows of earlier versions hold only the address")
{
    GatewayTableTranslator translator({ GatewayId("self"), { "10.0.0.9", 7201 }, ZoneId("north") });
    const auto own = translator.missingOwnRow();
    REQUIRE(own);
    const auto events = translator.changeEvents({ *own, row("old", "10.0.0.8:7201"), row("bad", "noise north") });
    REQUIRE(events.size() == 1);
    const std::vector<GatewayMember> expected { { GatewayId("old"), { "10.0.0.8", 7201 }, ZoneId() },
        { GatewayId("self"), { "10.0.0.9", 7201 }, ZoneId("north") } };
    CHECK(std::get<MembersListed>(events.front()).members == expected);
    CHECK_FALSE(translator.missingOwnRow());
}
