#include "adapters/http/AdminApi.h"
#include "adapters/http/AdminTokens.h"

#include <doctest/doctest.h>

using namespace teaselfold;
using namespace teaselfold::Internal;

namespace {

AdminApi makeApi(std::vector<ControlEvent>& events)
{
    AdminServerOptions options;
    options.tokens = { { "ann", OperatorRole::Operator, sha256Hex("secret") },
        { "vic", OperatorRole::Viewer, sha256Hex("look") } };
    ProbeCallbacks probes { [] { return false; }, [] { return std::string("metric 1\n"); } };
    return AdminApi(options, probes, [&events](const AdminApi::EventFactory& createEvent) -> AdminMessage {
        events.push_back(createEvent(AdminRequestId(1)));
        return ConfigurationView {};
    });
}

AdminRequest request(const std::string& method, std::vector<std::string> path, const std::string& token)
{
    AdminRequest result;
    result.method = method;
    result.path = std::move(path);
    result.authorization = token.empty() ? "" : "Bearer " + token;
    return result;
}

}

TEST_CASE("a request without a token, or with one whose role is insufficient, is rejected")
{
    std::vector<ControlEvent> events;
    const AdminApi api = makeApi(events);
    CHECK(api.serve(request("GET", { "admin", "status" }, "")).status == 401);
    CHECK(api.serve(request("GET", { "admin", "status" }, "guess")).status == 401);
    CHECK(api.serve(request("GET", { "admin", "status" }, "look")).status == 200);
    AdminRequest order = request("POST", { "admin", "zones", "kgl-a", "out" }, "look");
    order.body = R"({"reason": "works"})";
    CHECK(api.serve(order).status == 403);
    CHECK(events.size() == 1);
    order.authorization = "Bearer secret";
    CHECK(api.serve(order).status == 200);
    CHECK(std::get<IssueOrder>(events.back()).author == "ann");
}

TEST_CASE("probes need no token, and invalid requests never reach the control duty")
{
    std::vector<ControlEvent> events;
    const AdminApi api = makeApi(events);
    CHECK(api.serve(request("GET", { "healthz" }, "")).status == 200);
    CHECK(api.serve(request("GET", { "readyz" }, "")).status == 503);
    CHECK(api.serve(request("GET", { "metrics" }, "")).body == "metric 1\n");
    CHECK(api.serve(request("GET", { "admin", "moon" }, "secret")).status == 404);
    CHECK(api.serve(request("GET", { "admin", "notes", "x" }, "secret")).status == 400);
    AdminRequest order = request("POST", { "admin", "zones", "kgl-a", "out" }, "secret");
    for (const char* body : { "", "[]", "{", "null" }) {
        order.body = body;
        CHECK(api.serve(order).status == 400);
    }
    AdminRequest publish = request("POST", { "admin", "notes" }, "secret");
    publish.body = "id: [";
    CHECK(api.serve(publish).status == 400);
    CHECK(events.empty());
}
