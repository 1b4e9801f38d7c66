#include "support/StoreFleet.h"

#include "support/GatewayScenario.h"

#include <algorithm>

namespace teaselfold {

namespace {

    constexpr Milliseconds stepTime(10);
    constexpr Milliseconds tickPeriod(50);
    constexpr Milliseconds storeLatency(10);
    constexpr Milliseconds storeTimeout(700);
    constexpr Milliseconds storeClockOffset(777000);
    constexpr Milliseconds clockOffsetStep(1000000);
    constexpr double lossDenominator = 1000;

}

StoreFleet::StoreFleet(Options fleetOptions)
    : options(std::move(fleetOptions))
    , randomness(this->options.seed)
    , configuration(std::make_shared<const GatewayConfiguration>(GatewayScenario::configuration()))
    , configurationVersion(1)
{
    for (std::size_t index = 0; index < this->options.zones.size(); ++index) {
        Node& node = this->nodes.emplace_back();
        node.identity = { GatewayId("gateway-" + std::to_string(index)), ZoneId(this->options.zones[index]) };
        node.address = { "10.0.1." + std::to_string(index), 7201 };
        node.clockOffset = clockOffsetStep * static_cast<Milliseconds::rep>(index + 1);
        this->members.push_back({ node.identity.instance, node.address, node.identity.zone });
        this->startProcess(node);
    }
}

void StoreFleet::startProcess(Node& node)
{
    node.gateway = std::make_unique<Gateway>(this->options.limits, node.identity, this->randomness);
    node.reads.clear();
    node.inbox.clear();
}

void StoreFleet::restart(std::size_t gateway) { this->startProcess(this->nodes[gateway]); }

void StoreFleet::setPaused(std::size_t gateway, bool paused) { this->nodes[gateway].isPaused = paused; }

void StoreFleet::setCutFromStore(std::size_t gateway, bool cut) { this->nodes[gateway].isCutFromStore = cut; }

void StoreFleet::writeConfiguration(GatewayConfiguration written)
{
    this->configurationVersion = ++this->storeVersion;
    this->configuration = std::make_shared<const GatewayConfiguration>(std::move(written));
}

void StoreFleet::writeEndpoint(const EndpointRecord& record)
{
    this->endpoints[record.id] = { ++this->storeVersion, record };
}

void StoreFleet::removeEndpoint(const EndpointId& endpoint)
{
    this->endpoints[endpoint] = { ++this->storeVersion, std::nullopt };
}

void StoreFleet::setZoneOut(const std::string& zone, bool out)
{
    this->configurationVersion = ++this->storeVersion;
    if (out)
        this->zones.insert(ZoneId(zone));
    else
        this->zones.erase(ZoneId(zone));
}

void StoreFleet::restore(const Copy& copy)
{
    ++this->era;
    this->storeVersion = copy.storeVersion;
    this->configuration = copy.configuration;
    this->configurationVersion = copy.configurationVersion;
    this->membersVersion = std::min(this->membersVersion, this->storeVersion);
    this->endpoints = copy.endpoints;
    this->zones = copy.zones;
}

void StoreFleet::advance(Milliseconds duration)
{
    const Milliseconds end = this->time + duration;
    while (this->time < end)
        this->step();
}

void StoreFleet::step()
{
    this->time += stepTime;
    for (auto datagram = this->datagrams.begin(); datagram != this->datagrams.end();) {
        const bool isDue = datagram->dueAt <= this->time;
        if (isDue)
            this->nodes[datagram->receiver].inbox.push_back(datagram->event);
        datagram = isDue ? this->datagrams.erase(datagram) : std::next(datagram);
    }
    for (Node& node : this->nodes) {
        if (!node.isPaused)
            this->stepNode(node);
    }
}

void StoreFleet::stepNode(Node& node)
{
    this->advanceReads(node);
    while (!node.inbox.empty()) {
        const GatewayEvent event = std::move(node.inbox.front());
        node.inbox.pop_front();
        this->execute(node, node.gateway->handle(event, this->localTime(node)));
    }
    if (this->time.count() % tickPeriod.count() == 0)
        this->execute(node, node.gateway->tick(this->localTime(node)));
}

void StoreFleet::execute(Node& node, const GatewayActions& actions)
{
    for (const GatewayAction& action : actions) {
        if (const auto* read = std::get_if<ReadStore>(&action)) {
            ++this->callCount;
            ++node.calls;
            node.reads.push_back({ *read, this->time, this->time + storeLatency });
        } else if (const auto* reading = std::get_if<SendReading>(&action))
            this->sendToPeers(StoreReadingReceived { reading->reading }, reading->receivers);
        else if (const auto* gossip = std::get_if<SendGossip>(&action))
            this->sendToPeers(GossipReceived { gossip->gossip }, gossip->receivers);
        else if (const auto* started = std::get_if<StartExchange>(&action))
            node.lastEndpoint = started->parameters.endpoint;
    }
}

void StoreFleet::sendToPeers(const GatewayEvent& event, const std::vector<Address>& receivers)
{
    for (const Address& address : receivers) {
        this->announcementCount += std::holds_alternative<StoreReadingReceived>(event) ? 1 : 0;
        const auto draw = static_cast<double>(this->randomness.next() % static_cast<std::uint64_t>(lossDenominator));
        const auto receiver = std::find_if(
            this->nodes.begin(), this->nodes.end(), [&](const Node& node) { return node.address == address; });
        if (receiver != this->nodes.end() && draw >= this->lossShare * lossDenominator)
            this->datagrams.push_back(
                { this->time + this->datagramDelay, static_cast<std::size_t>(receiver - this->nodes.begin()), event });
    }
}

bool StoreFleet::hasChanges(const ReadStore& command) const
{
    if (this->readsAll(command))
        return true;
    const std::uint64_t since = command.since->number;
    if (command.section == StoreSection::Configuration)
        return this->configurationVersion > since;
    if (command.section == StoreSection::Members)
        return this->membersVersion > since;
    return std::any_of(this->endpoints.begin(), this->endpoints.end(),
        [&](const auto& entry) { return entry.second.version > since; });
}

void StoreFleet::advanceReads(Node& node)
{
    const std::vector<PendingRead> reads = std::exchange(node.reads, {});
    for (const PendingRead& read : reads) {
        const Milliseconds elapsed = this->time - read.startedAt;
        const bool isAnswered = read.answerDueAt <= this->time
            && (this->hasChanges(read.command) || elapsed >= read.command.longPollTimeout);
        if (!this->isStoreReachable(node)) {
            if (this->resetsCalls || elapsed >= storeTimeout)
                node.inbox.emplace_back(StoreReadFailed { read.command.section, "timeout" });
            else
                node.reads.push_back(read);
        } else if (isAnswered)
            this->answer(node, read);
        else
            node.reads.push_back(read);
    }
}

void StoreFleet::answerEndpoints(Node& node, const ReadStore& command)
{
    EndpointsListed listed;
    EndpointsChanged changes;
    for (const auto& [id, row] : this->endpoints) {
        if (row.record)
            listed.endpoints.push_back(*row.record);
        if (!command.since || row.version <= command.since->number)
            continue;
        if (row.record)
            changes.changed.push_back(*row.record);
        else
            changes.removed.push_back(id);
    }
    if (this->readsAll(command))
        node.inbox.emplace_back(std::move(listed));
    else if (!changes.empty())
        node.inbox.emplace_back(std::move(changes));
}

void StoreFleet::answer(Node& node, const PendingRead& read)
{
    const ReadStore& command = read.command;
    if (command.since && this->readsAll(command))
        node.inbox.emplace_back(
            StoreRestored { command.section, *command.since, StoreVersion(this->storeVersion, this->era) });
    if (this->hasChanges(command)) {
        if (command.section == StoreSection::Configuration) {
            node.inbox.emplace_back(ConfigurationRead { this->configuration });
            node.inbox.emplace_back(OutOfServiceZonesRead { this->zones });
        } else if (command.section == StoreSection::Members)
            node.inbox.emplace_back(MembersListed { this->members });
        else
            this->answerEndpoints(node, command);
    }
    const StoreTime storeTime(storeClockOffset + this->time);
    node.inbox.emplace_back(StoreReadSucceeded { command.section, Instant(node.clockOffset + read.startedAt),
        StoreVersion(this->storeVersion, this->era), storeTime, this->readsAll(command) });
}

bool StoreFleet::accepts(std::size_t gateway, const std::string& path, const std::string& key)
{
    Node& node = this->nodes[gateway];
    node.lastEndpoint.reset();
    GatewayRequest request;
    request.id = RequestId(++node.lastRequest);
    request.callerRequestId = "caller-" + std::to_string(node.lastRequest);
    request.method = "POST";
    request.host = "host.example";
    request.path = path;
    request.key = key;
    request.callerTimeout = Milliseconds(5000);
    request.fingerprint = Fingerprint(node.lastRequest);
    this->execute(node, node.gateway->handle(RequestArrived { request }, this->localTime(node)));
    const bool accepted = node.lastEndpoint.has_value();
    this->execute(node, node.gateway->handle(RequestAbandoned { request.id }, this->localTime(node)));
    return accepted;
}

bool StoreFleet::knowsAsUsable(std::size_t gateway, const EndpointId& endpoint)
{
    return this->nodes[gateway].gateway->acceptsRequests(endpoint);
}

bool StoreFleet::isReady(std::size_t gateway) const
{
    return this->nodes[gateway].gateway->isReady(this->localTime(this->nodes[gateway]));
}

std::vector<std::size_t> StoreFleet::callsPerGateway() const
{
    std::vector<std::size_t> counts;
    for (const Node& node : this->nodes)
        counts.push_back(node.calls);
    return counts;
}

}
