#include "platform/ConfigurationReader.h"
#include "platform/PlatformTrafficCodec.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace teaselfold;

namespace {

std::vector<std::string> valuesOf(const RequestHead& head, const std::string& name)
{
    std::vector<std::string> values;
    for (const HeaderField& field : head.fields) {
        if (field.name == name)
            values.push_back(field.value);
    }
    return values;
}

}

TEST_CASE("Header fields that only the gateway may set are not forwarded from a caller to an endpoint")
{
    const PlatformTrafficCodec codec;
    RequestHead received { "POST", "/a/b?c=d", false, {} };
    for (const char* name : { "X-Api-Key", "X-Teaselfold-Tenant", "X-Teaselfold-Retention", "X-Teaselfold-Pin-Ms",
             "X-Teaselfold-Kv-Replica", "Kv-From", "X-Teaselfold-Request-Priority", "X-Teaselfold-Target-Instance" })
        received.fields.push_back({ name, "from-caller" });
    received.fields.push_back({ "X-Teaselfold-Attempt-Id", "id-1" });
    ExchangeParameters parameters;
    parameters.endpoint = EndpointId("i-1");
    parameters.team = TeamId("team-a");
    parameters.timeLeft = Milliseconds(1200);
    const RequestHead sent = codec.writeRequest(received, parameters);
    CHECK(std::none_of(
        sent.fields.begin(), sent.fields.end(), [](const HeaderField& field) { return field.value == "from-caller"; }));
    CHECK(valuesOf(sent, "X-Teaselfold-Tenant") == std::vector<std::string> { "team-a" });
    CHECK(valuesOf(sent, "X-Teaselfold-Target-Instance") == std::vector<std::string> { "i-1" });
    CHECK(valuesOf(sent, "X-Teaselfold-Deadline-Ms") == std::vector<std::string> { "1200" });
    CHECK(valuesOf(sent, "X-Teaselfold-Attempt-Id") == std::vector<std::string> { "id-1" });
    CHECK(sent.target == "/a/b?c=d");
}

TEST_CASE("A request's shared prompt parts are all parts but the last, whatever their case and sizes")
{
    const PlatformTrafficCodec codec;
    const auto partsOf = [&](const std::string& list) {
        return codec.readRequest({ "POST", "/a/", false, { { "X-Teaselfold-Prefix-Hash", list } } }).sharedPromptParts;
    };
    const auto parts = partsOf("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    REQUIRE(parts.size() == 2);
    CHECK(parts[0] != parts[1]);
    CHECK(partsOf("5C1E07A2:1, 91bd3f06,0:1") == parts);
    CHECK(partsOf("5c1e07a2:800").empty());
    CHECK(partsOf("").empty());
}

TEST_CASE("A resumed stream's request names the engine that holds its KV cache and the last event")
{
    const PlatformTrafficCodec codec;
    RequestHead received { "POST", "/a/", false, { { "Last-Event-Id", "3" } } };
    ExchangeParameters parameters;
    parameters.resume = ResumePoint { { "10.0.0.1", 80 }, KvCacheHandle("h1"), 17 };
    const RequestHead sent = codec.writeRequest(received, parameters);
    CHECK(valuesOf(sent, "Kv-From") == std::vector<std::string> { "10.0.0.1:80/h1" });
    CHECK(valuesOf(sent, "Last-Event-Id") == std::vector<std::string> { "17" });
}

TEST_CASE("A response shows whether it is signed and whether the request was executed")
{
    const PlatformTrafficCodec codec;
    const auto refusal = codec.readResponse({ 503, "", { { "X-Teaselfold-Not-Executed", "1" } } });
    CHECK(refusal.notExecuted);
    CHECK_FALSE(refusal.isSigned);
    CHECK(codec.readResponse({ 421, "", {} }).notExecuted);
    const auto success = codec.readResponse(
        { 200, "", { { "x-teaselfold-server-signature", "s" }, { "X-Teaselfold-Instance-Load", "3,1,8" } } });
    CHECK(success.isSigned);
    REQUIRE(success.load);
    CHECK(success.load->waiting == 1);
}

TEST_CASE("A configuration is parsed with its routes, services, bounds and teams")
{
    const auto read = PlatformApi::readConfiguration(R"({"version":7,"routes":[{"name":"r","host":"H.example",
        "prefix":"/p/","routeKind":"streaming","timeoutMs":6000,"goalMs":1500,"priority":2,
        "split":[{"service":"a","weight":90},{"service":"b","weight":10}],"maxAttempts":1,"itlTargetMs":180}],
        "services":[{"name":"a","coldPerS":36.0,"runtime":{"slots":24,"kvCapacity":34253,"migrations":true,
        "replicas":true,"stride":4}},{"name":"b"}],"limits":{"maxHeaderBytes":100},
        "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1}],"later":{"x":1}})");
    REQUIRE(read);
    CHECK(read->version == 7);
    REQUIRE(read->routes.size() == 1);
    CHECK(read->routes[0].host == "h.example");
    CHECK(read->routes[0].kind == RequestKind::Stream);
    CHECK(read->routes[0].services.size() == 2);
    REQUIRE(read->services.size() == 2);
    CHECK(read->services[0].engine->kvCacheTokens == 34253);
    CHECK_FALSE(read->services[1].engine);
    CHECK(read->bounds.maxHeadBytes == 100);
    REQUIRE(read->teams);
    CHECK(read->teams->front().keys.size() == 2);
}

TEST_CASE("Malformed rows yield no configuration and no endpoint")
{
    for (const std::string text : { "", "{", "[]", "null", "{\"version\":\"7\"}", "\xff\xfe", "{\"version\":1e999}" })
        CHECK_FALSE(PlatformApi::readConfiguration(text));
    for (const std::string text :
        { "", "[1]", R"({"service":"s"})",
            R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"resting","coldLeftMs":0,"seqNo":1})",
            R"({"service":"s","address":"10.0.0.1","zone":"z","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"seqNo":1})",
            R"({"service":1,"address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"seqNo":1})" })
        CHECK_FALSE(PlatformApi::readEndpoint("i-1", text));
    CHECK(PlatformApi::readEndpoint("i-1",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"draining","coldLeftMs":0,"seqNo":1})")
              ->isDraining);
}

TEST_CASE("A migration response without a handle counts as failed")
{
    const PlatformTrafficCodec codec;
    const auto complete
        = codec.readMigrationResponse(ExchangeId(1), { 200, "", {} }, R"({"session":"s1","created":12})");
    CHECK(complete.outcome == MigrationOutcome::Copied);
    CHECK(complete.handle == KvCacheHandle("s1"));
    CHECK(codec.readMigrationResponse(ExchangeId(1), { 200, "", {} }, "{}").outcome == MigrationOutcome::Failed);
    CHECK(codec.readMigrationResponse(ExchangeId(1), { 409, "", {} }, "").outcome == MigrationOutcome::InProgress);
    CHECK(codec.readMigrationResponse(ExchangeId(1), { 418, "", {} }, "").outcome == MigrationOutcome::Failed);
}
