#include "support/GatewayScenario.h"

namespace teaselfold {

namespace {

    GatewayRoute route(const std::string& name, RequestKind kind, const std::string& service)
    {
        GatewayRoute result;
        result.name = name;
        result.host = "host.example";
        result.prefix = "/" + name + "/";
        result.kind = kind;
        result.timeout = Milliseconds(6000);
        result.latencyObjective = Milliseconds(1200);
        result.services.push_back({ ServiceId(service), 1 });
        result.maxAttempts = kind == RequestKind::Idempotent ? 2 : 1;
        return result;
    }

    GatewayTeam team(const std::string& name, const std::string& key)
    {
        GatewayTeam result;
        result.name = TeamId(name);
        result.keys.push_back(key);
        return result;
    }

    EndpointRecord endpoint(const std::string& id, const std::string& service, const std::string& zone)
    {
        EndpointRecord record;
        record.id = EndpointId(id);
        record.service = ServiceId(service);
        record.address = { "10.0.0." + std::to_string(id.back() - '0' + 1), 80 };
        record.zone = ZoneId(zone);
        record.slots = 4;
        return record;
    }

}

GatewayConfiguration GatewayScenario::configuration(std::uint64_t version)
{
    GatewayConfiguration result;
    result.version = version;
    result.routes.push_back(route("read", RequestKind::Idempotent, "plain"));
    result.routes.push_back(route("write", RequestKind::NonIdempotent, "plain"));
    result.routes.push_back(route("draft", RequestKind::Stream, "engines"));
    GatewayService plainService;
    plainService.name = ServiceId("plain");
    GatewayService engines;
    engines.name = ServiceId("engines");
    engines.engine = EngineCapabilities { 30000, true, true, 4 };
    result.services = { plainService, engines };
    result.teams = std::vector { team("team-a", "key-a"), team("team-b", "key-b") };
    return result;
}

EndpointRecord GatewayScenario::engineEndpoint(const std::string& id, const std::string& zone)
{
    return endpoint(id, "engines", zone);
}

EndpointRecord GatewayScenario::plainEndpoint(const std::string& id, const std::string& zone)
{
    return endpoint(id, "plain", zone);
}

GatewayScenario::GatewayScenario(GatewayLimits limits)
    : gateway(limits, { GatewayId("gateway-1"), ZoneId("north") }, this->randomness)
{
}

GatewayScenario& GatewayScenario::start()
{
    this->handle(ConfigurationRead { std::make_shared<const GatewayConfiguration>(configuration()) });
    this->handle(EndpointsListed { { engineEndpoint("e1"), engineEndpoint("e2"), engineEndpoint("e3"),
        plainEndpoint("p4"), plainEndpoint("p5"), plainEndpoint("p6") } });
    return this->refreshFromStore();
}

GatewayScenario& GatewayScenario::refreshFromStore()
{
    this->handle(StoreReadSucceeded { StoreSection::Configuration, this->time });
    return this->handle(StoreReadSucceeded { StoreSection::Endpoints, this->time });
}

GatewayScenario& GatewayScenario::advance(Milliseconds remaining)
{
    constexpr Milliseconds period(50);
    while (remaining > Milliseconds(0)) {
        const Milliseconds step = std::min(remaining, period);
        this->time += step;
        remaining -= step;
        this->record(this->gateway.tick(this->time));
    }
    return *this;
}

GatewayScenario& GatewayScenario::handle(const GatewayEvent& event)
{
    this->record(this->gateway.handle(event, this->time));
    return *this;
}

GatewayRequest GatewayScenario::request(const std::string& path, const std::string& key)
{
    GatewayRequest request;
    request.id = RequestId(++this->lastRequest);
    request.callerRequestId = "caller-" + std::to_string(this->lastRequest);
    request.method = "POST";
    request.host = "host.example";
    request.path = path;
    request.key = key;
    request.callerTimeout = Milliseconds(5000);
    request.promptTokens = 1000;
    request.maxOutputTokens = 400;
    request.fingerprint = Fingerprint(this->lastRequest);
    return request;
}

RequestId GatewayScenario::sendRequest(const std::string& path, const std::string& key)
{
    return this->receive(this->request(path, key));
}

RequestId GatewayScenario::sendStream(std::uint64_t maxOutputTokens)
{
    GatewayRequest request = this->request("/draft/1", "key-a");
    request.maxOutputTokens = maxOutputTokens;
    return this->receive(std::move(request));
}

RequestId GatewayScenario::sendRequestWithFingerprint(const std::string& path, Fingerprint fingerprint)
{
    GatewayRequest request = this->request(path, "key-a");
    request.fingerprint = fingerprint;
    return this->receive(std::move(request));
}

RequestId GatewayScenario::receive(GatewayRequest request)
{
    const RequestId id = request.id;
    this->handle(RequestArrived { std::move(request) });
    return id;
}

std::optional<ReadStore> GatewayScenario::lastRead(StoreSection section) const
{
    std::optional<ReadStore> found;
    for (const GatewayAction& action : this->actions) {
        const auto* read = std::get_if<ReadStore>(&action);
        if (read && read->section == section)
            found = *read;
    }
    return found;
}

GatewayScenario& GatewayScenario::disableReplicas()
{
    GatewayConfiguration withoutReplicas = configuration(2);
    withoutReplicas.services.back().engine->canReplicate = false;
    return this->handle(ConfigurationRead { std::make_shared<const GatewayConfiguration>(withoutReplicas) });
}

std::set<EndpointId> GatewayScenario::endpointsUsed(int requests)
{
    std::set<EndpointId> endpoints;
    for (int request = 0; request < requests; ++request) {
        this->clearActions();
        this->sendRequest("/write/1");
        if (this->lastAction<StartExchange>())
            endpoints.insert(this->lastExchange()->endpoint);
    }
    return endpoints;
}

void GatewayScenario::respond(ResponseSummary summary)
{
    this->handle(ResponseReceived { this->parameters->exchange, summary });
}

void GatewayScenario::endExchange(ExchangeEnd end) { this->handle(ExchangeEnded { this->parameters->exchange, end }); }

void GatewayScenario::loseEngine()
{
    const ExchangeId exchange = this->parameters->exchange;
    this->handle(ExchangeEnded { exchange, ExchangeEnd::Broken });
    this->handle(MigrationResponseReceived { exchange, MigrationOutcome::Unreachable, {} });
}

void GatewayScenario::record(GatewayActions newActions)
{
    for (GatewayAction& action : newActions) {
        if (const auto* started = std::get_if<StartExchange>(&action))
            this->parameters = started->parameters;
        this->actions.push_back(std::move(action));
    }
}

ResponseSummary GatewayScenario::success()
{
    ResponseSummary summary;
    summary.status = 200;
    summary.isSigned = true;
    return summary;
}

ResponseSummary GatewayScenario::streamStart()
{
    ResponseSummary summary = success();
    summary.isStream = true;
    return summary;
}

ResponseSummary GatewayScenario::notRunRefusal()
{
    ResponseSummary summary;
    summary.status = 503;
    summary.notExecuted = true;
    return summary;
}

ResponseSummary GatewayScenario::failure(std::uint16_t status)
{
    ResponseSummary summary;
    summary.status = status;
    summary.isSigned = true;
    return summary;
}

}
