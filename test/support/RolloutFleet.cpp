#include "support/RolloutFleet.h"

#include "adapters/peers/GossipCodec.h"
#include "support/GatewayScenario.h"

#include <algorithm>

namespace teaselfold {

namespace {

    constexpr Milliseconds stepTime(10);
    constexpr Milliseconds tickPeriod(50);
    constexpr Milliseconds storePeriod(1000);
    constexpr Milliseconds datagramDelay(2);
    constexpr Milliseconds callTime(10);
    constexpr Milliseconds failureTime(60);
    constexpr Milliseconds orderReadTime(40);
    constexpr Milliseconds endpointStartTime(500);
    constexpr Milliseconds drainTime(3000);
    /** Time that all gateways have to hear of a final state. */
    constexpr Milliseconds hearingTime(500);
    constexpr double drawSteps = 1000000;
    /** Part of a service's reads that are answered with an error, whatever the version. */
    constexpr double usualErrors = 0.14;
    constexpr double greyErrors = 0.45;
    const ServiceId service("plain");
    const SoftwareVersion oldVersion("v1");
    const SoftwareVersion newVersion("v2");

}

RolloutFleet::RolloutFleet(Options fleetOptions)
    : options(std::move(fleetOptions))
    , randomness(this->options.seed)
{
    for (std::size_t index = 0; index < this->options.endpoints; ++index) {
        for (const bool isNew : { false, true }) {
            EndpointRecord record = GatewayScenario::plainEndpoint((isNew ? "n" : "o") + std::to_string(index));
            record.address = { "10.0." + std::to_string(isNew ? 3 : 2) + "." + std::to_string(index), 80 };
            record.slots = 6;
            record.version = isNew ? newVersion : oldVersion;
            const bool isGrey = isNew && index < this->options.greyEndpoints;
            this->endpoints[record.id] = { record, isNew, isGrey, isNew, 0 };
        }
    }
    for (std::size_t index = 0; index < this->options.gateways; ++index) {
        Node& node = this->nodes.emplace_back();
        node.identity = { GatewayId("gateway-" + std::to_string(index)), ZoneId("north") };
        node.address = { "10.0.1." + std::to_string(index), 7201 };
    }
    for (std::size_t index = 0; index < this->nodes.size(); ++index)
        this->startGateway(index);
}

double RolloutFleet::draw()
{
    return static_cast<double>(this->randomness.next() % static_cast<std::uint64_t>(drawSteps)) / drawSteps;
}

std::vector<EndpointRecord> RolloutFleet::records() const
{
    std::vector<EndpointRecord> records;
    for (const auto& [id, endpoint] : this->endpoints) {
        if (!endpoint.isStopped)
            records.push_back(endpoint.record);
    }
    return records;
}

void RolloutFleet::startGateway(std::size_t index)
{
    Node& node = this->nodes[index];
    node.gateway = std::make_unique<Gateway>(GatewayLimits {}, node.identity, this->randomness);
    std::vector<GatewayMember> members;
    for (const Node& member : this->nodes)
        members.push_back({ member.identity.instance, member.address, member.identity.zone });
    GatewayConfiguration configuration = GatewayScenario::configuration();
    for (GatewayRoute& route : configuration.routes)
        route.isPublic = true;
    this->handle(index, ConfigurationRead { std::make_shared<const GatewayConfiguration>(configuration) });
    if (!this->orders.orders.empty() || !this->orders.malformed.empty())
        this->handle(index, this->orders);
    this->handle(index, StoreReadSucceeded { StoreSection::Configuration, this->instant() });
    this->handle(index, EndpointsListed { this->records() });
    this->handle(index, MembersListed { members });
    for (const StoreSection section : { StoreSection::Endpoints, StoreSection::Members })
        this->handle(index, StoreReadSucceeded { section, this->instant() });
}

void RolloutFleet::restart(std::size_t gateway)
{
    std::erase_if(this->runs, [&](const Run& run) {
        if (run.node == gateway)
            --this->endpoints.at(run.endpoint).inFlight;
        return run.node == gateway;
    });
    this->startGateway(gateway);
}

void RolloutFleet::order()
{
    this->isOrdered = true;
    this->orderedAt = this->time;
    this->setOrders({ { { service, newVersion, this->options.duration } }, {} });
}

void RolloutFleet::setOrders(RolloutOrdersRead read)
{
    this->orders = std::move(read);
    this->isOrdered = true;
    this->tellAll(this->orders);
}

void RolloutFleet::registerEndpoints()
{
    EndpointsChanged changes;
    for (auto& [id, endpoint] : this->endpoints) {
        if (!endpoint.isNew || !this->options.startsEndpoints)
            continue;
        endpoint.isStopped = false;
        changes.changed.push_back(endpoint.record);
    }
    this->tellAll(changes);
}

void RolloutFleet::tellAll(const GatewayEvent& event)
{
    for (std::size_t node = 0; node < this->nodes.size(); ++node)
        this->tell(node, event, orderReadTime + Milliseconds(this->randomness.next() % 150));
}

void RolloutFleet::tell(std::size_t node, GatewayEvent event, Milliseconds delay)
{
    this->messages.push_back({ this->time + delay, node, std::move(event) });
}

void RolloutFleet::handle(std::size_t node, const GatewayEvent& event)
{
    if (this->nodes[node].gateway)
        this->execute(node, this->nodes[node].gateway->handle(event, this->instant()));
}

void RolloutFleet::execute(std::size_t node, const GatewayActions& actions)
{
    for (const GatewayAction& action : actions) {
        if (const auto* started = std::get_if<StartExchange>(&action))
            this->startRun(node, started->parameters);
        else if (const auto* gossip = std::get_if<SendGossip>(&action))
            this->sendDatagrams(node, *gossip);
        else if (std::holds_alternative<ReadRollouts>(action))
            this->readStore(node);
        else if (const auto* write = std::get_if<WriteRollout>(&action))
            this->writeStore(node, *write);
        else if (std::holds_alternative<RefuseRequest>(action))
            ++this->refusedRequests;
        else if (const auto* cancelled = std::get_if<CancelExchange>(&action))
            std::erase_if(this->runs, [&](const Run& run) {
                const bool matches = run.node == node && run.exchange == cancelled->exchange;
                if (matches)
                    --this->endpoints.at(run.endpoint).inFlight;
                return matches;
            });
    }
}

bool RolloutFleet::applies(const VersionFault& fault, const std::string& path, const Endpoint& endpoint) const
{
    return this->isOrdered && this->sinceOrder() >= fault.begins && endpoint.inFlight >= fault.minLoad
        && path.starts_with(fault.path);
}

void RolloutFleet::startRun(std::size_t node, const ExchangeParameters& parameters)
{
    Endpoint& endpoint = this->endpoints.at(parameters.endpoint);
    ++endpoint.inFlight;
    const bool counts = this->isOrdered && this->sinceOrder() <= this->options.duration;
    this->sentTotal += counts ? 1 : 0;
    if (endpoint.isNew) {
        this->sentToNew += counts ? 1 : 0;
        this->lastSentToNew = this->sinceOrder();
    }
    const auto last = this->state();
    const bool isOver = last && *last != RolloutState::InProgress
        && this->sinceOrder() > this->stateChanges.back().sinceOrder + hearingTime;
    const bool isTarget = this->row && endpoint.record.version == this->row->record.target;
    if (isOver && isTarget != (*last == RolloutState::Completed))
        ++this->misroutedRequests;
    const std::string& path = this->paths.at(RequestId(parameters.request));
    const VersionFault& fault = endpoint.isNew ? this->options.newVersion : this->options.oldVersion;
    constexpr double shortest = 30;
    constexpr double spread = 60;
    constexpr double longPart = 0.01;
    double work = shortest + spread * this->draw();
    if (this->draw() < longPart)
        work *= 5;
    Run run { node, parameters.exchange, parameters.endpoint, Milliseconds(0), false, false };
    run.isFailed = path.starts_with("/read/") && this->draw() < usualErrors;
    if (endpoint.isGrey && this->draw() < greyErrors)
        run.isFailed = true;
    if (this->applies(fault, path, endpoint)) {
        const bool fails = this->draw() < fault.failedPart;
        const bool isSlow = this->draw() < fault.slowPart;
        run.isFailed = run.isFailed || fails;
        run.isBad = endpoint.isNew && (fails || isSlow);
        work *= isSlow ? fault.slowFactor : 1;
    }
    run.endsAt = this->time + Milliseconds(static_cast<Milliseconds::rep>(work));
    this->runs.push_back(run);
}

void RolloutFleet::endRuns()
{
    std::vector<Run> ended;
    std::erase_if(this->runs, [&](const Run& run) {
        if (run.endsAt > this->time)
            return false;
        ended.push_back(run);
        return true;
    });
    for (const Run& run : ended) {
        Endpoint& endpoint = this->endpoints.at(run.endpoint);
        --endpoint.inFlight;
        if (run.isBad)
            this->badAnswers.push_back(this->sinceOrder());
        if (endpoint.isStopped) {
            this->handle(run.node, ExchangeEnded { run.exchange, ExchangeEnd::Broken });
            continue;
        }
        this->handle(run.node,
            ResponseReceived {
                run.exchange, run.isFailed ? GatewayScenario::failure(500) : GatewayScenario::success() });
        this->handle(run.node, ExchangeEnded { run.exchange, ExchangeEnd::Complete });
    }
}

void RolloutFleet::sendRequest()
{
    std::size_t node = this->randomness.next() % this->nodes.size();
    while (!this->nodes[node].gateway)
        node = this->randomness.next() % this->nodes.size();
    GatewayRequest request;
    request.id = RequestId(++this->lastRequest);
    request.callerRequestId = "caller-" + std::to_string(this->lastRequest);
    request.method = "POST";
    request.host = "host.example";
    request.path = this->draw() < 0.4 ? "/read/1" : "/write/1";
    request.callerTimeout = Milliseconds(1500);
    request.fingerprint = Fingerprint(this->lastRequest);
    this->paths[request.id] = request.path;
    this->handle(node, RequestArrived { std::move(request) });
}

void RolloutFleet::readStore(std::size_t node)
{
    ++this->calls;
    if (this->isStoreDown)
        return this->tell(node, RolloutStoreFailed { "status 503" }, failureTime);
    RolloutsRead read { {}, StoreTime(this->time) };
    if (this->row)
        read.rollouts.push_back(*this->row);
    this->tell(node, read, callTime);
}

void RolloutFleet::writeStore(std::size_t node, const WriteRollout& write)
{
    ++this->calls;
    if (this->isStoreDown)
        return this->tell(node, RolloutStoreFailed { "status 503" }, failureTime);
    if (this->writeHook)
        this->writeHook(node, write);
    const StoreVersion current = this->row ? this->row->version : StoreVersion();
    if (current != write.expected) {
        --this->calls;
        return this->readStore(node);
    }
    this->row = { write.record, StoreVersion(++this->storeVersion) };
    this->changeState(write.record);
    if (this->losesAnswers)
        this->tell(node, RolloutStoreFailed { "no answer" }, failureTime);
    else
        this->tell(node, RolloutStored { *this->row }, callTime);
}

void RolloutFleet::changeState(const RolloutRecord& record)
{
    this->stateChanges.push_back({ this->sinceOrder(), record.state });
    if (record.state == RolloutState::Reverted)
        this->newEndpointsStopAt = this->time + drainTime;
    if (record.state != RolloutState::Completed)
        return;
    EndpointsChanged changes;
    for (auto& [id, endpoint] : this->endpoints) {
        if (endpoint.record.version == record.target)
            continue;
        this->cutRequests += endpoint.inFlight;
        endpoint.isStopped = true;
        changes.removed.push_back(id);
    }
    this->tellAll(changes);
}

void RolloutFleet::sendDatagrams(std::size_t node, const SendGossip& gossip)
{
    const std::string datagram = encodeGossip(gossip.gossip);
    const GossipMessage message = decodeGossip(datagram).value();
    for (const Address& address : gossip.receivers) {
        const auto receiver = std::find_if(
            this->nodes.begin(), this->nodes.end(), [&](const Node& other) { return other.address == address; });
        this->sentBytes += datagram.size() + 28;
        if (receiver == this->nodes.end() || this->draw() < this->options.loss)
            continue;
        if (!this->nodes[node].isIsolated && !receiver->isIsolated)
            this->tell(
                static_cast<std::size_t>(receiver - this->nodes.begin()), GossipReceived { message }, datagramDelay);
    }
}

void RolloutFleet::advance(Milliseconds duration)
{
    const Milliseconds end = this->time + duration;
    while (this->time < end)
        this->step();
}

void RolloutFleet::step()
{
    this->time += stepTime;
    if (this->isOrdered && this->sinceOrder() == endpointStartTime)
        this->registerEndpoints();
    if (this->time >= this->newEndpointsStopAt) {
        this->newEndpointsStopAt = Milliseconds::max();
        EndpointsChanged changes;
        for (auto& [id, endpoint] : this->endpoints) {
            endpoint.isStopped = endpoint.isStopped || endpoint.isNew;
            if (endpoint.isNew)
                changes.removed.push_back(id);
        }
        this->tellAll(changes);
    }
    std::vector<Message> due;
    std::erase_if(this->messages, [&](const Message& message) {
        if (message.dueAt > this->time)
            return false;
        due.push_back(message);
        return true;
    });
    for (const Message& message : due)
        this->handle(message.receiver, message.event);
    this->endRuns();
    this->dueRequests += this->options.requestsPerSecond * std::chrono::duration<double>(stepTime).count();
    for (; this->dueRequests >= 1; this->dueRequests -= 1)
        this->sendRequest();
    for (std::size_t node = 0; node < this->nodes.size(); ++node) {
        if (!this->nodes[node].gateway)
            continue;
        if (this->time % tickPeriod == Milliseconds(0))
            this->execute(node, this->nodes[node].gateway->tick(this->instant()));
        if (this->time % storePeriod == Milliseconds(0) && !this->isStoreDown) {
            this->handle(node, StoreReadSucceeded { StoreSection::Configuration, this->instant() });
            this->handle(node, StoreReadSucceeded { StoreSection::Endpoints, this->instant() });
        }
    }
}

std::optional<RolloutState> RolloutFleet::state() const
{
    return this->stateChanges.empty() ? std::nullopt : std::optional(this->stateChanges.back().state);
}

std::optional<SoftwareVersion> RolloutFleet::stateTarget() const
{
    return this->row ? std::optional(this->row->record.target) : std::nullopt;
}

double RolloutFleet::exposureLimit() const
{
    const GatewayLimits limits;
    return limits.exposureFraction * static_cast<double>(this->sentTotal) + limits.exposureHeadroom;
}

Milliseconds RolloutFleet::longestRollback() const
{
    constexpr std::size_t toleratedAnswers = 50;
    if (this->badAnswers.size() < toleratedAnswers)
        return Milliseconds(0);
    return std::max(Milliseconds(0), this->lastSentToNew - this->badAnswers[toleratedAnswers - 1]);
}

}
