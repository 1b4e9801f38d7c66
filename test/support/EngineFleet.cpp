#include "support/EngineFleet.h"

#include "adapters/peers/GossipCodec.h"
#include "core/entry/Rendezvous.h"
#include "support/GatewayScenario.h"

#include <algorithm>

namespace teaselfold {

namespace {

    constexpr Milliseconds stepTime(10);
    constexpr Milliseconds tickPeriod(50);
    constexpr Milliseconds storePeriod(1000);
    constexpr Milliseconds datagramDelay(2);
    constexpr Milliseconds downTime(3000);
    constexpr Milliseconds prefillTime(300);
    constexpr Milliseconds eventInterval(40);
    constexpr std::uint64_t minEvents = 3;
    constexpr std::uint64_t maxEvents = 300;
    constexpr double drawSteps = 1000000;

}

EngineFleet::EngineFleet(Options fleetOptions)
    : options(fleetOptions)
    , randomness(fleetOptions.seed)
{
    for (std::size_t index = 0; index < this->options.engines; ++index) {
        const std::string id = "e" + std::to_string(index);
        EndpointRecord record
            = this->sendsStreams() ? GatewayScenario::engineEndpoint(id) : GatewayScenario::plainEndpoint(id);
        record.address = { "10.0.2." + std::to_string(index), 80 };
        record.slots = 24;
        this->engines[record.id] = { record, Milliseconds(0) };
    }
    for (std::size_t index = 0; index < this->options.gateways; ++index) {
        Node& node = this->nodes.emplace_back();
        node.identity = { GatewayId("gateway-" + std::to_string(index)), ZoneId("north") };
        node.address = { "10.0.1." + std::to_string(index), 7201 };
    }
    for (Node& node : this->nodes)
        this->startGateway(node);
}

void EngineFleet::startGateway(Node& node)
{
    node.gateway = std::make_unique<Gateway>(GatewayLimits {}, node.identity, this->randomness);
    node.requests.clear();
    const auto index = static_cast<std::size_t>(&node - this->nodes.data());
    std::vector<EndpointRecord> records;
    for (const auto& [id, engine] : this->engines)
        records.push_back(engine.record);
    std::vector<GatewayMember> members;
    for (const Node& member : this->nodes)
        members.push_back({ member.identity.instance, member.address, member.identity.zone });
    GatewayConfiguration configuration = GatewayScenario::configuration();
    for (GatewayRoute& route : configuration.routes)
        route.timeout = Milliseconds(39000);
    this->handle(index, ConfigurationRead { std::make_shared<const GatewayConfiguration>(configuration) });
    this->handle(index, EndpointsListed { records });
    this->handle(index, MembersListed { members });
    this->introduce(node);
}

void EngineFleet::introduce(Node& node)
{
    const auto index = static_cast<std::size_t>(&node - this->nodes.data());
    for (const StoreSection section : { StoreSection::Configuration, StoreSection::Endpoints, StoreSection::Members })
        this->handle(index, StoreReadSucceeded { section, this->instant() });
}

void EngineFleet::restartGateway(std::size_t gateway)
{
    std::erase_if(this->runs, [&](const Run& run) { return run.node == gateway; });
    this->startGateway(this->nodes[gateway]);
}

double EngineFleet::draw()
{
    return static_cast<double>(this->randomness.next() % static_cast<std::uint64_t>(drawSteps)) / drawSteps;
}

bool EngineFleet::isDeadly(const Request& request) const
{
    if (this->deadlyRequests.contains(request.fingerprint))
        return true;
    return this->deadlyPart
        && std::find(request.parts.begin(), request.parts.end(), *this->deadlyPart) != request.parts.end();
}

void EngineFleet::send(const std::vector<PromptPartId>& parts) { this->sendTo(this->randomGateway(), parts); }

void EngineFleet::sendTo(std::size_t gateway, const std::vector<PromptPartId>& parts)
{
    this->sendRequest(gateway, Fingerprint(hashOf(std::to_string(this->lastRequest))), parts);
}

void EngineFleet::sendDeadly(Fingerprint fingerprint, const std::vector<PromptPartId>& parts)
{
    this->deadlyRequests.try_emplace(fingerprint);
    this->sendRequest(this->randomGateway(), fingerprint, parts);
}

void EngineFleet::sendAgain(Fingerprint fingerprint, const std::vector<PromptPartId>& parts)
{
    this->sendRequest(this->randomGateway(), fingerprint, parts);
}

std::size_t EngineFleet::randomGateway()
{
    std::size_t node = this->randomness.next() % this->nodes.size();
    while (this->nodes[node].isSuspended)
        node = this->randomness.next() % this->nodes.size();
    return node;
}

void EngineFleet::continueGateway(std::size_t gateway)
{
    Node& node = this->nodes[gateway];
    node.isSuspended = false;
    for (const GossipMessage& message : std::exchange(node.waitingDatagrams, {}))
        this->handle(gateway, GossipReceived { message });
    this->introduce(node);
}

void EngineFleet::sendRequest(std::size_t node, Fingerprint fingerprint, const std::vector<PromptPartId>& parts)
{
    GatewayRequest request;
    request.id = RequestId(++this->lastRequest);
    request.callerRequestId = "caller-" + std::to_string(this->lastRequest);
    request.method = "POST";
    request.host = "host.example";
    request.path = this->options.path;
    request.key = "key-a";
    request.callerTimeout = Milliseconds(39000);
    request.promptTokens = 1000;
    request.maxOutputTokens = 400;
    request.fingerprint = fingerprint;
    request.sharedPromptParts = parts;
    this->nodes[node].requests[request.id] = this->requests.size();
    this->requests.push_back({ parts, fingerprint, this->time, false, false });
    this->handle(node, RequestArrived { std::move(request) });
}

void EngineFleet::handle(std::size_t node, const GatewayEvent& event)
{
    this->execute(node, this->nodes[node].gateway->handle(event, this->instant()));
}

void EngineFleet::execute(std::size_t node, const GatewayActions& actions)
{
    for (const GatewayAction& action : actions) {
        if (const auto* started = std::get_if<StartExchange>(&action))
            this->startRun(node, started->parameters);
        else if (const auto* call = std::get_if<StartMigration>(&action))
            this->answerStopCall(node, *call);
        else if (const auto* probe = std::get_if<ProbeEndpoint>(&action))
            this->answerProbe(node, *probe);
        else if (const auto* gossip = std::get_if<SendGossip>(&action))
            this->sendDatagrams(*gossip);
        else if (const auto* refused = std::get_if<RefuseRequest>(&action))
            this->requests[this->nodes[node].requests.at(refused->request)].isQuarantined
                = refused->failure.code == ErrorCode::Quarantined;
        else if (const auto* cancelled = std::get_if<CancelExchange>(&action))
            std::erase_if(
                this->runs, [&](const Run& run) { return run.node == node && run.exchange == cancelled->exchange; });
    }
}

void EngineFleet::startRun(std::size_t node, const ExchangeParameters& parameters)
{
    const std::size_t request = this->nodes[node].requests.at(parameters.request);
    if (this->isDeadly(this->requests[request]))
        this->deadlyArrivalTimes.push_back(this->time);
    const std::uint64_t lastEvent = parameters.resume ? parameters.resume->lastEventId : 0;
    const std::uint64_t events = lastEvent + minEvents + this->randomness.next() % (maxEvents - minEvents);
    const bool isDown = this->engines.at(parameters.endpoint).backAt > this->time;
    const auto deadly = this->deadlyRequests.find(this->requests[request].fingerprint);
    if (deadly != this->deadlyRequests.end() && !isDown)
        deadly->second.arrivals.push_back(this->time);
    const Milliseconds prefill = isDown ? stepTime : parameters.resume ? eventInterval : prefillTime;
    this->runs.push_back(
        { node, parameters.exchange, request, parameters.endpoint, this->time + prefill, lastEvent, events });
}

void EngineFleet::answerStopCall(std::size_t node, const StartMigration& call)
{
    if (!call.stopsSource)
        return;
    const auto source = std::find_if(this->engines.begin(), this->engines.end(),
        [&](const auto& entry) { return entry.second.record.address == call.source; });
    const bool isDown = source->second.backAt > this->time;
    this->handle(node,
        MigrationResponseReceived {
            call.exchange, isDown ? MigrationOutcome::Unreachable : MigrationOutcome::NoSuchRun, {} });
}

void EngineFleet::answerProbe(std::size_t node, const ProbeEndpoint& probe)
{
    const bool isDown = this->engines.at(probe.endpoint).backAt > this->time;
    this->handle(node, EndpointProbed { probe.endpoint, isDown ? ProbeOutcome::Refused : ProbeOutcome::Accepted });
}

void EngineFleet::sendDatagrams(const SendGossip& gossip)
{
    const GossipMessage message = decodeGossip(encodeGossip(gossip.gossip)).value();
    for (const Address& address : gossip.receivers) {
        const auto receiver = std::find_if(
            this->nodes.begin(), this->nodes.end(), [&](const Node& node) { return node.address == address; });
        if (receiver != this->nodes.end() && this->draw() >= this->options.loss)
            this->datagrams.push_back(
                { this->time + datagramDelay, static_cast<std::size_t>(receiver - this->nodes.begin()), message });
    }
}

void EngineFleet::advance(Milliseconds duration)
{
    const Milliseconds end = this->time + duration;
    while (this->time < end)
        this->step();
}

void EngineFleet::step()
{
    this->time += stepTime;
    while (!this->datagrams.empty() && this->datagrams.front().dueAt <= this->time) {
        const Datagram datagram = std::move(this->datagrams.front());
        this->datagrams.pop_front();
        if (this->nodes[datagram.receiver].isSuspended) {
            this->nodes[datagram.receiver].waitingDatagrams.push_back(datagram.message);
            continue;
        }
        this->handle(datagram.receiver, GossipReceived { datagram.message });
    }
    std::vector<std::pair<std::size_t, ExchangeId>> due;
    for (const Run& run : this->runs) {
        if (run.nextEventAt <= this->time && !this->nodes[run.node].isSuspended)
            due.emplace_back(run.node, run.exchange);
    }
    for (const auto& [node, exchange] : due) {
        const std::size_t owner = node;
        const ExchangeId id = exchange;
        const auto run = std::find_if(this->runs.begin(), this->runs.end(),
            [&](const Run& each) { return each.node == owner && each.exchange == id; });
        if (run != this->runs.end())
            this->advanceRun(static_cast<std::size_t>(run - this->runs.begin()));
    }
    for (std::size_t node = 0; node < this->nodes.size(); ++node) {
        if (this->nodes[node].isSuspended)
            continue;
        if (this->time.count() % tickPeriod.count() == 0)
            this->execute(node, this->nodes[node].gateway->tick(this->instant()));
        if (this->time.count() % storePeriod.count() == 0)
            this->introduce(this->nodes[node]);
    }
}

void EngineFleet::advanceRun(std::size_t index)
{
    Run& run = this->runs[index];
    const EndpointId engine = run.engine;
    if (this->engines.at(engine).backAt > this->time)
        return this->endRun(index, ExchangeEnd::Refused);
    const bool isFirst = run.lastEvent == 0;
    if (isFirst && this->isDeadly(this->requests[run.request])) {
        this->crashTimes.push_back(this->time);
        const auto deadly = this->deadlyRequests.find(this->requests[run.request].fingerprint);
        if (deadly != this->deadlyRequests.end())
            deadly->second.crashes.push_back(this->time);
        if (this->options.isUnframed)
            this->sendFirstEvent(run);
        return this->crash(engine);
    }
    if (isFirst && this->engines.at(engine).isGrey)
        return this->endRun(index, ExchangeEnd::Broken);
    if (this->draw() < this->brokenShare / static_cast<double>(maxEvents))
        return this->endRun(index, ExchangeEnd::Broken);
    const std::size_t node = run.node;
    const ExchangeId exchange = run.exchange;
    const std::uint64_t lastEvent = ++run.lastEvent;
    const bool isLast = !this->sendsStreams() || lastEvent >= run.events;
    run.nextEventAt = this->time + eventInterval;
    const std::size_t request = run.request;
    if (!this->sendsStreams())
        this->handle(node, ResponseReceived { exchange, GatewayScenario::success() });
    else if (isFirst)
        this->handle(node, ResponseReceived { exchange, GatewayScenario::streamStart() });
    if (this->sendsStreams())
        this->handle(node, EventsRelayed { exchange, lastEvent });
    if (!isLast)
        return;
    this->requests[request].isCompleted = true;
    const auto ended = std::find_if(this->runs.begin(), this->runs.end(),
        [&](const Run& each) { return each.node == node && each.exchange == exchange; });
    this->endRun(static_cast<std::size_t>(ended - this->runs.begin()),
        this->options.isUnframed ? ExchangeEnd::Closed : ExchangeEnd::Complete);
}

void EngineFleet::endRun(std::size_t index, ExchangeEnd end)
{
    const Run run = this->runs[index];
    this->runs.erase(this->runs.begin() + static_cast<std::ptrdiff_t>(index));
    this->handle(run.node, ExchangeEnded { run.exchange, end });
}

void EngineFleet::sendFirstEvent(const Run& run)
{
    const Run copy = run;
    this->handle(copy.node, ResponseReceived { copy.exchange, GatewayScenario::streamStart() });
    this->handle(copy.node, EventsRelayed { copy.exchange, 1 });
}

void EngineFleet::crash(const EndpointId& engine)
{
    this->engines.at(engine).backAt = this->time + downTime;
    std::vector<Run> broken;
    std::erase_if(this->runs, [&](const Run& run) {
        if (run.engine == engine)
            broken.push_back(run);
        return run.engine == engine;
    });
    for (const Run& run : broken)
        this->handle(run.node,
            ExchangeEnded { run.exchange, this->options.isUnframed ? ExchangeEnd::Closed : ExchangeEnd::Broken });
}

void EngineFleet::crashEngines(double share)
{
    for (auto& [id, engine] : this->engines) {
        if (this->draw() < share)
            this->crash(id);
    }
}

void EngineFleet::makeGrey(std::size_t count)
{
    for (auto engine = this->engines.begin(); engine != this->engines.end() && count > 0; ++engine, --count)
        engine->second.isGrey = true;
}

EngineFleet::Outcome EngineFleet::outcomeOf(PromptPartId part, Milliseconds from, Milliseconds to) const
{
    Outcome outcome;
    for (const Request& request : this->requests) {
        const bool hasPart = std::find(request.parts.begin(), request.parts.end(), part) != request.parts.end();
        if (!hasPart || this->isDeadly(request) || request.sentAt < from || request.sentAt >= to)
            continue;
        ++outcome.sent;
        outcome.quarantined += request.isQuarantined ? 1 : 0;
        outcome.completed += request.isCompleted ? 1 : 0;
    }
    return outcome;
}

EngineFleet::Outcome EngineFleet::outcome() const
{
    Outcome outcome;
    for (const Request& request : this->requests) {
        if (this->isDeadly(request))
            continue;
        ++outcome.sent;
        outcome.quarantined += request.isQuarantined ? 1 : 0;
        outcome.completed += request.isCompleted ? 1 : 0;
    }
    return outcome;
}

}
