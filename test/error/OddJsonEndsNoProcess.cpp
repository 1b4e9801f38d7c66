#include "adapters/engine/EngineDocuments.h"
#include "adapters/http/CompletionJson.h"
#include "adapters/platform/PlatformResponses.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

std::string nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

/** Values that are valid JSON but fit into no field. */
std::vector<std::string> oddValues()
{
    return { "1e999", "-1e999", "1e400", "99999999999999999999999999", "-99999999999999999999999999",
        "18446744073709551616", "-1", "0.5", "null", "true", "{}", "\"\\u0000\"", nested(40), nested(200),
        nested(50000) };
}

}

// Guards against exceptions that POCO does not translate: they end the thread that reads the text, and the process.
TEST_CASE("A value that fits into no field makes a document of an engine unreadable")
{
    for (const std::string& value : oddValues()) {
        CAPTURE(value.substr(0, 60));
        CHECK_NOTHROW(Internal::decodeReport("{\"running\":" + value + ",\"waiting\":1}"));
        CHECK_NOTHROW(Internal::decodeReport("{\"loaded_models\":[" + value + "]}"));
        CHECK_NOTHROW(Internal::decodeReport(value));
        CHECK_NOTHROW(Internal::decodeCacheEvents("{\"sequence\":" + value + ",\"stored\":[" + value + "]}"));
        CHECK_NOTHROW(Internal::decodeStreamLine(GenerationId(1), "data: {\"index\":" + value + ",\"choices\":[]}"));
        CHECK_NOTHROW(Internal::decodeStreamLine(GenerationId(1), "data: {\"index\":1,\"choices\":" + value + "}"));
        CHECK_NOTHROW(Internal::decodeStreamLine(GenerationId(1), "data: {\"finish_reason\":" + value + "}"));
    }
}

TEST_CASE("A value that fits into no field makes a caller's request a bad one")
{
    for (const std::string& value : oddValues()) {
        CAPTURE(value.substr(0, 60));
        for (const std::string name : { "model", "max_tokens", "priority", "stream" }) {
            const std::string body = "{\"model\":\"m\",\"prompt\":\"p\",\"" + name + "\":" + value + "}";
            CHECK_NOTHROW(decodeCompletionRequest(body));
        }
        CHECK_NOTHROW(decodeCompletionRequest(value));
    }
}

// Guards against one odd element that hides all instances of the platform's list from an agent.
TEST_CASE("An odd element of the platform's list of instances hides no other one")
{
    const std::string sound = R"({"name":"entry-1","leaving":false})";
    for (const std::string odd :
        { "null", "7", "[]", "{}", R"({"name":7,"leaving":false})", R"({"name":"entry-2","leaving":"perhaps"})",
            R"({"name":"entry-2"})", R"({"name":null,"leaving":true})" }) {
        CAPTURE(odd);
        const auto read = Internal::parseInstances("{\"instances\":[" + odd + "," + sound + "," + odd + "]}");
        const auto* list = std::get_if<InstanceList>(&read);
        REQUIRE(list);
        REQUIRE(list->instances.size() >= 1);
        CHECK(std::any_of(list->instances.begin(), list->instances.end(),
            [](const auto& instance) { return instance.name == "entry-1"; }));
    }
}
