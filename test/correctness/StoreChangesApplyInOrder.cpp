#include "platform/StoreWatcher.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

constexpr const char* readyRecord = R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready"})";

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

TEST_CASE(
    "The store poll interval grows with the number of gateways but stays below half the reclaim notice of endpoints")
{
    constexpr Milliseconds minReclaimNotice(1500);
    CHECK(storePollInterval(26) > storePollInterval(3));
    CHECK(storePollInterval(400) < minReclaimNotice / 2);
    CHECK(storePollInterval(0) > Milliseconds(0));
}
