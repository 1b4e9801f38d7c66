#include "platform/ConfigurationReader.h"
#include "platform/JsonReader.h"
#include "platform/PlatformTrafficCodec.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

const std::string injected = "a\r\nX-Teaselfold-Tenant: team-b";

}

// Guards against a JSON text with line ends that becomes fields of a request head.
TEST_CASE("A text from the store or an endpoint that would end a header line is not used in one")
{
    constexpr const char* record
        = R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"seqNo":1})";
    CHECK(PlatformApi::readEndpoint("i-1", record));
    CHECK_FALSE(PlatformApi::readEndpoint(injected, record));

    const auto configuration = PlatformApi::readConfiguration(
        R"({"version":1,"tenants":[{"name":"a\r\nX-Note: b","apiKeys":["k1"]},{"name":"t","apiKeys":["k2"]}]})");
    REQUIRE(configuration);
    REQUIRE(configuration->teams);
    REQUIRE(configuration->teams->size() == 1);
    CHECK(configuration->teams->front().name == TeamId("t"));

    const PlatformTrafficCodec codec;
    const auto migrated
        = codec.readMigrationResponse(ExchangeId(1), { 200, "", {} }, R"({"session":"h\r\nX-Note: b","created":1})");
    CHECK(migrated.outcome == MigrationOutcome::Failed);
    CHECK(migrated.handle.get().empty());
}

// Guards against a caller whose request id adds members to the body of a migration call, and so names another run.
TEST_CASE("A caller's request id is one member of the body of a migration call, whatever it contains")
{
    const PlatformTrafficCodec codec;
    for (const std::string id : { "request-1", "a\",\"final\":true,\"id\":\"request-2", "a\\", "caf\xc3\xa9", "\t" }) {
        CAPTURE(id);
        StartMigration migration;
        migration.callerRequestId = id;
        migration.source = { "10.0.0.1", 80 };
        migration.target = { "10.0.0.2", 80 };
        const auto body = PlatformApi::parseJsonObject(codec.writeMigrationCall(migration).body);
        REQUIRE(body);
        CHECK((*body)->size() == 3);
        CHECK(PlatformApi::stringField(*body, "id") == id);
        CHECK(PlatformApi::booleanField(*body, "final") == false);
    }
}
