#include "platform/StoreWatcher.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

constexpr const char* readyRecord = R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready"})";

PlatformApi::StoreRow row(const std::string& key, const std::string& value) { return { key, value, false }; }

PlatformApi::StoreRow deleted(const std::string& key) { return { key, "", true }; }

EndpointsChanged changesOf(const std::vector<PlatformApi::StoreRow>& rows)
{
    EndpointTableTranslator table;
    const auto events = table.changeEvents(rows);
    REQUIRE(events.size() == 1);
    return std::get<EndpointsChanged>(events.front());
}

}

TEST_CASE("An endpoint that lapsed and came back within one answer is there")
{
    const auto changes = changesOf({ deleted("i-1"), row("i-1", readyRecord) });
    CHECK(changes.changed.size() == 1);
    CHECK(changes.removed.empty());
}

TEST_CASE("An endpoint that came and left within one answer is gone")
{
    const auto changes = changesOf({ row("i-1", readyRecord), deleted("i-1") });
    CHECK(changes.changed.empty());
    CHECK(changes.removed == std::vector { EndpointId("i-1") });
}

TEST_CASE("A record that turns unreadable names no endpoint any more")
{
    CHECK(changesOf({ row("i-1", readyRecord), row("i-1", "noise") }).removed == std::vector { EndpointId("i-1") });
}

TEST_CASE("Zones out of service follow the rows in their order")
{
    OperatorTableTranslator table;
    const auto events = table.changeEvents({ row("evacuate/a", "{}"), row("evacuate/b", "{}"), deleted("evacuate/a") });
    REQUIRE(events.size() == 1);
    CHECK(std::get<ZonesOutRead>(events.front()).zones == std::set { ZoneId("b") });
}

TEST_CASE("Gateways ask the store less often the more they are, but notice a leaving endpoint within its notice")
{
    constexpr Milliseconds shortestNotice(1500);
    CHECK(storePollInterval(26) > storePollInterval(3));
    CHECK(storePollInterval(400) < shortestNotice / 2);
    CHECK(storePollInterval(0) > Milliseconds(0));
}
