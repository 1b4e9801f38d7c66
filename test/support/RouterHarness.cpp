#include "support/RouterHarness.h"

#include "core/entry/RequestFingerprint.h"

namespace teaselfold {

namespace {

    Endpoint endpointOf(const std::string& id, const std::string& service)
    {
        const std::string zone = id.starts_with("b-") ? "zone-b" : "zone-a";
        return { EndpointId(id), ZoneId(zone), ServiceId(service), { "127.0.0.1", 7101 }, true };
    }

    Fleet smallFleet(const std::vector<std::string>& models)
    {
        Fleet fleet;
        fleet.version = ReleaseVersion(1);
        for (const char* zone : { "zone-a", "zone-b" })
            fleet.zones[ZoneId(zone)] = { ZoneId(zone), "region" };
        Service writers;
        writers.id = ServiceId("writers");
        Service registry;
        registry.id = ServiceId("registry");
        registry.kind = ServiceKind::Plain;
        registry.nonRepeatable = { { "POST", "/orders" } };
        fleet.services = { { writers.id, writers }, { registry.id, registry } };
        fleet.models[ModelId("m")] = { ModelId("m"), writers.id, "1", {} };
        for (const std::string& id : models)
            fleet.endpoints[EndpointId(id)] = endpointOf(id, "writers");
        for (const char* id : { "p-1", "p-2" })
            fleet.endpoints[EndpointId(id)] = endpointOf(id, "registry");
        fleet.teams[TeamId("team")] = { TeamId("team"), 1, 1000, "" };
        return fleet;
    }

}

RouterHarness::RouterHarness(std::vector<std::string> models)
    : fleet(smallFleet(models))
    , router(
          RouterBuilder().withSelf(EntryId("e-1")).withZone(ZoneId("zone-a")).withRandomness(this->randomness).build())
{
    this->send(FleetChanged { this->fleet });
}

void RouterHarness::send(const RouterEvent& event)
{
    for (RouterAction& action : this->router->handle(event, this->now))
        this->actions.push_back(std::move(action));
}

void RouterHarness::deliverFromAgent(const std::string& endpoint, AgentMessage message)
{
    this->send(FromAgent { EndpointId(endpoint), std::move(message) });
}

void RouterHarness::advance(Milliseconds time)
{
    constexpr Milliseconds step { 100 };
    for (Milliseconds elapsed { 0 }; elapsed < time; elapsed += step) {
        this->now += step;
        this->send(RouterTick {});
    }
}

void RouterHarness::connect(const std::string& endpoint, LoadReport report, std::uint64_t incarnation)
{
    this->send(LinkUp { EndpointId(endpoint) });
    this->deliverFromAgent(endpoint, AgentHello { EndpointId(endpoint), Incarnation(incarnation) });
    report.release = this->fleet.version;
    this->deliverFromAgent(endpoint, report);
}

RequestId RouterHarness::requestCompletion(const std::string& prompt, bool stream, OnEngineLoss loss)
{
    CompletionRequest request;
    request.request = RequestId(++this->lastRequest);
    request.work.team = TeamId("team");
    request.work.model = ModelId("m");
    request.work.prompt = prompt;
    request.work.fingerprint = fingerprintOf(request.work);
    request.stream = stream;
    request.onEngineLoss = loss;
    request.budget = Seconds(60);
    this->send(request);
    return request.request;
}

RequestId RouterHarness::requestCall(const std::string& method, const std::string& key)
{
    ServiceCallRequest request;
    request.request = RequestId(++this->lastRequest);
    request.work.team = TeamId("team");
    request.work.service = ServiceId("registry");
    request.work.method = method;
    request.work.path = "/orders/7";
    request.work.key = IdempotencyKey(key);
    request.budget = Seconds(60);
    this->send(request);
    return request.request;
}

LoadReport RouterHarness::reportWithCapacity(std::uint32_t capacity)
{
    LoadReport report;
    report.room = capacity;
    report.pace = Milliseconds(20);
    return report;
}

}
