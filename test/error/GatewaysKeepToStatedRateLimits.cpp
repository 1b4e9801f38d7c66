#include "adapters/peers/GossipCodec.h"
#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>

using namespace teaselfold;

namespace {

constexpr Milliseconds stepTime(10);
constexpr Milliseconds tickPeriod(50);
/** What rule LIMIT allows holds in each such window, from the settling time after the limit was first stated. */
constexpr Milliseconds window(4000);
constexpr Milliseconds settlingTime(3000);

/** Several gateways that exchange gossip, and one endpoint that may state a limit in its answers. */
class LimitedFleet {
public:
    struct Options {
        /** Requests per second of each gateway. */
        std::vector<double> demands;
        std::optional<double> limit;
        std::uint64_t seed { 1 };
        Milliseconds responseTime { 20 };
    };

    explicit LimitedFleet(Options fleetOptions)
        : options(std::move(fleetOptions))
        , draws(this->options.seed)
    {
        this->nodes.resize(this->options.demands.size());
        for (std::size_t node = 0; node < this->nodes.size(); ++node)
            this->restart(node);
    }

    void setLimit(std::optional<double> limit) { this->options.limit = limit; }
    void setDemand(std::size_t node, double perSecond) { this->options.demands[node] = perSecond; }
    /** @param share share of the datagrams that are lost, from 0 to 1. */
    void setLoss(double share) { this->lossShare = share; }
    /** @return the number of requests that were refused, not counting those that waited. */
    std::size_t refusals() const { return this->refusalCount; }

    /** Suspends a gateway's process. What it is sent meanwhile, it receives afterwards. */
    void suspend(std::size_t node, Milliseconds time) { this->nodes[node].suspendedUntil = this->now + time; }

    /** Ends a gateway's process and starts a new one, which knows the records of the store. */
    void restart(std::size_t index)
    {
        Node& node = this->nodes[index];
        node = Node {};
        node.dueRequests = static_cast<double>(index) / static_cast<double>(this->nodes.size());
        node.randomness = std::make_unique<SeededRandomness>(this->options.seed * 1000 + ++this->starts);
        node.gateway = std::make_unique<Gateway>(
            GatewayLimits {}, GatewayIdentity { nameOf(index), ZoneId("north") }, *node.randomness);
        this->handle(index, ConfigurationRead { std::make_shared<const GatewayConfiguration>(configuration()) });
        this->handle(index, EndpointsListed { { GatewayScenario::plainEndpoint("p4") } });
        std::vector<GatewayMember> members;
        for (std::size_t other = 0; other < this->nodes.size(); ++other)
            members.push_back({ nameOf(other), { "10.0.1.1", static_cast<std::uint16_t>(other) }, ZoneId("north") });
        this->handle(index, MembersListed { members });
        this->refresh(index);
    }

    void advance(Milliseconds time)
    {
        for (const Instant end = this->now + time; this->now < end; this->now += stepTime)
            this->step();
    }

    /** @return the most requests that reached the endpoint in one window since the time. */
    std::size_t mostInWindow(Instant since) const
    {
        std::size_t most = 0;
        for (auto first = this->arrivals.begin(); first != this->arrivals.end(); ++first) {
            if (*first < since)
                continue;
            const auto last = std::lower_bound(first, this->arrivals.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }
    std::size_t arrivalsSince(Instant since) const
    {
        return static_cast<std::size_t>(std::count_if(
            this->arrivals.begin(), this->arrivals.end(), [&](const Instant arrival) { return arrival >= since; }));
    }
    Instant time() const { return this->now; }

private:
    struct Node {
        std::unique_ptr<SeededRandomness> randomness;
        std::unique_ptr<Gateway> gateway;
        std::deque<std::pair<Instant, GatewayEvent>> inbox;
        double dueRequests { 0 };
        std::uint64_t lastRequest { 0 };
        Instant suspendedUntil {};
    };

    static GatewayId nameOf(std::size_t node) { return GatewayId("gateway-" + std::to_string(node)); }
    static GatewayConfiguration configuration() { return GatewayScenario::configuration(); }

    void refresh(std::size_t index)
    {
        this->handle(index, StoreReadSucceeded { StoreSection::Configuration, this->now });
        this->handle(index, StoreReadSucceeded { StoreSection::Endpoints, this->now });
    }

    void step()
    {
        const auto elapsed = std::chrono::duration_cast<Milliseconds>(this->now.time_since_epoch());
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            Node& node = this->nodes[index];
            if (this->now < node.suspendedUntil)
                continue;
            while (!node.inbox.empty() && node.inbox.front().first <= this->now) {
                const GatewayEvent event = node.inbox.front().second;
                node.inbox.pop_front();
                this->handle(index, event);
            }
            node.dueRequests += this->options.demands[index] * std::chrono::duration<double>(stepTime).count();
            for (; node.dueRequests >= 1; node.dueRequests -= 1)
                this->sendRequest(index);
            if (elapsed % tickPeriod == Milliseconds(0))
                this->execute(index, node.gateway->tick(this->now));
            if (elapsed % Milliseconds(500) == Milliseconds(0))
                this->refresh(index);
        }
    }

    void sendRequest(std::size_t index)
    {
        GatewayRequest request;
        request.id = RequestId(++this->nodes[index].lastRequest);
        request.callerRequestId = "caller-" + std::to_string(request.id.get());
        request.method = "POST";
        request.host = "host.example";
        request.path = "/write/1";
        request.key = "key-a";
        request.callerTimeout = Milliseconds(5000);
        request.fingerprint = Fingerprint(index * 1000000 + request.id.get());
        this->handle(index, RequestArrived { request });
    }

    void handle(std::size_t index, const GatewayEvent& event)
    {
        this->execute(index, this->nodes[index].gateway->handle(event, this->now));
    }

    void execute(std::size_t index, const GatewayActions& actions)
    {
        for (const GatewayAction& action : actions) {
            if (const auto* start = std::get_if<StartExchange>(&action))
                this->answer(index, start->parameters.exchange);
            else if (const auto* gossip = std::get_if<SendGossip>(&action))
                this->deliver(index, gossip->gossip);
            else if (std::holds_alternative<RefuseRequest>(action))
                ++this->refusalCount;
        }
    }

    void answer(std::size_t index, ExchangeId exchange)
    {
        this->arrivals.push_back(this->now);
        ResponseSummary summary = GatewayScenario::success();
        summary.rateLimit = RateLimitStatement { this->options.limit };
        auto& inbox = this->nodes[index].inbox;
        inbox.emplace_back(this->now + this->options.responseTime, ResponseReceived { exchange, summary });
        inbox.emplace_back(this->now + this->options.responseTime, ExchangeEnded { exchange, ExchangeEnd::Complete });
    }

    void deliver(std::size_t sender, const GossipMessage& message)
    {
        const GossipMessage received = decodeGossip(encodeGossip(message)).value();
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            constexpr double range = 18446744073709551616.0;
            if (index != sender && static_cast<double>(this->draws.next()) / range >= this->lossShare)
                this->nodes[index].inbox.emplace_back(this->now + stepTime, GossipReceived { received });
        }
    }

    Options options;
    SeededRandomness draws;
    std::vector<Node> nodes;
    Instant now { Seconds(1000) };
    double lossShare { 0 };
    std::uint64_t starts { 0 };
    std::size_t refusalCount { 0 };
    std::vector<Instant> arrivals;
};

double allowed(double limit) { return 1.5 * limit * std::chrono::duration<double>(window).count() + 5; }

/** Lets the fleet run after a limit was stated, and checks that it keeps to the limit and makes use of it. */
void checkLimit(LimitedFleet& fleet, double limit, double leastUse)
{
    fleet.advance(settlingTime);
    const Instant settled = fleet.time();
    constexpr Milliseconds observed(16000);
    fleet.advance(observed);
    CHECK(static_cast<double>(fleet.mostInWindow(settled)) <= allowed(limit));
    const double taken = limit * std::chrono::duration<double>(observed).count();
    CHECK(static_cast<double>(fleet.arrivalsSince(settled)) >= leastUse * taken);
}

}

// Guards against gateways that each keep to a limit which the endpoint stated for all of them together.
TEST_CASE("The requests of all gateways together keep to the rate limit that an endpoint states")
{
    for (const auto& demands : { std::vector<double> { 40 }, std::vector<double>(5, 9), std::vector<double>(26, 5),
             std::vector<double> { 30, 0.1, 0.1, 0.1, 0.1 }, std::vector<double> { 20, 10, 5, 1, 0 } }) {
        for (const double limit : { 1.0, 4.5, 12.0 }) {
            CAPTURE(demands.size());
            CAPTURE(demands.front());
            CAPTURE(limit);
            LimitedFleet fleet({ demands, limit });
            checkLimit(fleet, limit, 0.5);
        }
    }
}

// Guards against limits that hold only while every gateway hears the others.
TEST_CASE("A rate limit holds while gateways hear nothing of each other, lose datagrams, restart and join")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        LimitedFleet fleet({ std::vector<double>(6, 8), 4.5, seed });
        fleet.setDemand(5, 0);
        fleet.advance(settlingTime);
        const Instant settled = fleet.time();
        fleet.setLoss(0.3);
        fleet.advance(Milliseconds(4000));
        fleet.setLoss(1);
        fleet.advance(Milliseconds(6000));
        fleet.setLoss(0);
        for (std::size_t restarted = 0; restarted < 3; ++restarted) {
            fleet.restart(restarted);
            fleet.advance(Milliseconds(1500));
        }
        fleet.setDemand(5, 20);
        fleet.advance(Milliseconds(4000));
        CHECK(static_cast<double>(fleet.mostInWindow(settled)) <= allowed(4.5));
        CHECK(fleet.refusals() > 0);
    }
}

// Guards against endpoints that stay without requests although their limit is over, and against limits of zero that
// nobody ever asks about again.
TEST_CASE("A rate limit of zero gets hardly any request, and one that is no longer stated holds no more")
{
    LimitedFleet fleet({ std::vector<double>(5, 6), 0.0 });
    fleet.advance(settlingTime);
    const Instant settled = fleet.time();
    fleet.advance(Milliseconds(12000));
    CHECK(static_cast<double>(fleet.mostInWindow(settled)) <= allowed(0));
    fleet.setLimit(std::nullopt);
    fleet.advance(Milliseconds(5000));
    const Instant lifted = fleet.time();
    fleet.advance(Milliseconds(2000));
    CHECK(fleet.arrivalsSince(lifted) == 60);
}

// Guards against requests that wait for an endpoint's limit until their time is over.
TEST_CASE("A request that no endpoint's rate limit allows is refused at once, with a time to come back in turn")
{
    GatewayScenario scenario;
    scenario.start().handle(MembersListed { { { GatewayId("gateway-1"), {} } } });
    scenario.handle(EndpointsListed { { GatewayScenario::plainEndpoint("p4") } });
    ResponseSummary limited = GatewayScenario::success();
    limited.rateLimit = RateLimitStatement { 2.0 };
    scenario.sendRequest("/write/1");
    scenario.respond(limited);
    scenario.endExchange(ExchangeEnd::Complete);
    Milliseconds last(0);
    int refused = 0;
    for (int request = 0; request < 6; ++request) {
        scenario.clearActions();
        scenario.sendRequest("/write/1");
        const auto refusal = scenario.lastAction<RefuseRequest>();
        if (!refusal)
            continue;
        ++refused;
        CHECK(refusal->failure.run == Executed::No);
        // The share of a gateway alone is 1.6 requests a second.
        CHECK(refusal->failure.retryAfter <= last + Milliseconds(700));
        CHECK(refusal->failure.retryAfter > last);
        last = refusal->failure.retryAfter;
    }
    CHECK(refused >= 5);
    CHECK(last > Milliseconds(2000));
}

// Guards against retries, streams that resume and copy calls that a limit does not count.
TEST_CASE("Calls that copy a run count against the rate limit of its engine")
{
    GatewayScenario scenario;
    scenario.start().handle(MembersListed { { { GatewayId("gateway-1"), {} } } }).disableReplicas();
    scenario.sendStream(2000);
    ResponseSummary limited = GatewayScenario::streamStart();
    limited.rateLimit = RateLimitStatement { 0.5 };
    scenario.respond(limited);
    const ExchangeId stream = scenario.lastExchange()->exchange;
    scenario.handle(EventsRelayed { stream, 5 });
    EndpointRecord leaving = GatewayScenario::engineEndpoint(scenario.lastExchange()->endpoint.get());
    leaving.isDraining = true;
    scenario.handle(EndpointsChanged { { leaving }, {} });
    int calls = 0;
    for (std::uint64_t event = 6; event < 106; ++event) {
        scenario.advance(Milliseconds(50)).refreshFromStore();
        scenario.handle(EventsRelayed { stream, event });
        for (const GatewayAction& action : scenario.takeActions())
            calls += std::holds_alternative<StartMigration>(action) ? 1 : 0;
        scenario.handle(MigrationResponseReceived { stream, MigrationOutcome::NoRoom, {}, false, {}, {} });
    }
    CHECK(calls >= 1);
    CHECK(calls <= 4);
}

// Guards against answers of another process that set or lift a limit.
TEST_CASE("Only an endpoint's own answers say whether it has a rate limit")
{
    GatewayScenario scenario;
    scenario.start().handle(MembersListed { { { GatewayId("gateway-1"), {} } } });
    scenario.handle(EndpointsListed { { GatewayScenario::plainEndpoint("p4") } });
    const auto answer = [&](ResponseSummary summary, std::optional<RateLimitStatement> statement) {
        scenario.advance(Milliseconds(3000)).refreshFromStore().clearActions();
        scenario.sendRequest("/write/1");
        REQUIRE(scenario.lastAction<StartExchange>());
        summary.rateLimit = statement;
        scenario.respond(summary);
        if (summary.status == 200 && summary.isSigned)
            scenario.endExchange(ExchangeEnd::Complete);
        for (const GatewayAction& action : scenario.takeActions()) {
            const auto* line = std::get_if<LogEvent>(&action);
            if (line && line->name.starts_with("endpoint_limit"))
                return line->name;
        }
        return std::string();
    };
    ResponseSummary foreign = GatewayScenario::notRunRefusal();
    foreign.isMisdirected = true;
    ResponseSummary unsignedAnswer = GatewayScenario::success();
    unsignedAnswer.isSigned = false;
    CHECK(answer(foreign, RateLimitStatement { 3.0 }).empty());
    CHECK(answer(unsignedAnswer, RateLimitStatement { 3.0 }).empty());
    CHECK(answer(GatewayScenario::success(), RateLimitStatement { 3.0 }) == "endpoint_limited");
    CHECK(answer(GatewayScenario::success(), RateLimitStatement { 3.0 }).empty());
    CHECK(answer(GatewayScenario::success(), std::nullopt).empty());
    CHECK(answer(unsignedAnswer, RateLimitStatement {}).empty());
    CHECK(answer(GatewayScenario::notRunRefusal(), RateLimitStatement { 2.0 }) == "endpoint_limited");
    CHECK(answer(GatewayScenario::success(), RateLimitStatement {}) == "endpoint_limit_lifted");
}

// Guards against gateways that each save up a request while nobody sends any, and all send it in the same instant.
TEST_CASE("Idle gateways keep to a rate limit when callers come to all of them in the same instant")
{
    for (const std::size_t gateways : { std::size_t(26), std::size_t(64), std::size_t(127) }) {
        for (const double busyDemand : { 0.0, 20.0 }) {
            CAPTURE(gateways);
            CAPTURE(busyDemand);
            std::vector<double> demands(gateways, 0);
            demands.front() = 20;
            LimitedFleet fleet({ demands, 4.5 });
            fleet.advance(settlingTime);
            const Instant settled = fleet.time();
            fleet.setDemand(0, busyDemand);
            fleet.advance(Milliseconds(60000));
            for (std::size_t node = 0; node < gateways; ++node)
                fleet.setDemand(node, 10);
            fleet.advance(Milliseconds(6000));
            CHECK(static_cast<double>(fleet.mostInWindow(settled)) <= allowed(4.5));
        }
    }
}

// Guards against answers that a suspended gateway reads late and takes, for the whole fleet, for the newest ones.
TEST_CASE("A gateway that was suspended does not lift a rate limit with what it was sent before")
{
    for (const double limit : { 0.0, 1.0, 4.5 }) {
        CAPTURE(limit);
        LimitedFleet fleet({ std::vector<double>(26, 40), std::nullopt, 1, Milliseconds(300) });
        fleet.advance(Milliseconds(1000));
        fleet.suspend(0, Milliseconds(6000));
        fleet.setLimit(limit);
        fleet.advance(settlingTime);
        const Instant settled = fleet.time();
        fleet.advance(Milliseconds(8000));
        CHECK(static_cast<double>(fleet.mostInWindow(settled)) <= allowed(limit));
    }
}

// Guards against gateways that each exceed a rate limit by a request when all of them lose streams at the same time.
TEST_CASE("Streams that many gateways resume at the same time keep to the rate limit of an engine")
{
    const GatewayLimits limits;
    const EndpointRecord engine = GatewayScenario::engineEndpoint("e1");
    const Instant now { Seconds(1000) };
    for (const std::size_t gateways : { std::size_t(5), std::size_t(64), std::size_t(127) }) {
        CAPTURE(gateways);
        int sent = 0;
        for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
            EndpointDirectory directory(limits, GatewayId("gateway-" + std::to_string(gateway)));
            directory.replaceAll({ engine }, std::nullopt, now);
            directory.rateLimits().setGatewayCount(gateways);
            directory.rateLimits().recordAnswer(engine.id, 4.5, now);
            while (directory.acceptsResumption(engine.id, now) || directory.acceptsStoppedRun(engine.id, now)) {
                directory.beginExchange(engine.id, 10, now);
                ++sent;
            }
        }
        CHECK(sent <= 8);
    }
}

// Guards against callers that all come back in the same instant because another endpoint of the service leaves.
TEST_CASE("Refused callers come back in turn although an endpoint without a rate limit leaves or rests")
{
    for (const bool isLeaving : { true, false }) {
        CAPTURE(isLeaving);
        GatewayScenario scenario;
        scenario.start().handle(MembersListed { { { GatewayId("gateway-1"), {} } } });
        scenario.handle(EndpointsListed { { GatewayScenario::plainEndpoint("p4") } });
        ResponseSummary limited = GatewayScenario::success();
        limited.rateLimit = RateLimitStatement { 2.0 };
        scenario.sendRequest("/write/1");
        scenario.respond(limited);
        scenario.endExchange(ExchangeEnd::Complete);
        EndpointRecord other = GatewayScenario::plainEndpoint("p5");
        other.isDraining = isLeaving;
        scenario.handle(EndpointsChanged { { other }, {} });
        ResponseSummary resting = GatewayScenario::notRunRefusal();
        resting.restTime = Milliseconds(9000);
        Milliseconds last(0);
        int refused = 0;
        for (int request = 0; request < 12; ++request) {
            scenario.clearActions();
            scenario.sendRequest("/write/1");
            if (scenario.lastAction<StartExchange>() && scenario.lastExchange()->endpoint == other.id)
                scenario.respond(resting);
            const auto refusal = scenario.lastAction<RefuseRequest>();
            if (!refusal || refusal->failure.message.find("rate limit") == std::string::npos)
                continue;
            ++refused;
            CHECK(refusal->failure.retryAfter > last);
            last = refusal->failure.retryAfter;
            if (refused == 4)
                break;
        }
        CHECK(refused == 4);
    }
}

// Guards against limits that refuse requests although all gateways together send far less.
TEST_CASE("Requests within a rate limit are served although each of many gateways sends few")
{
    for (const std::size_t gateways : { 3, 26 }) {
        const std::size_t leastServed = gateways == 3 ? 108 : 60;
        LimitedFleet fleet({ std::vector<double>(gateways, 2.0 / static_cast<double>(gateways)), 4.5 });
        fleet.advance(settlingTime);
        const Instant settled = fleet.time();
        fleet.advance(Milliseconds(60000));
        CAPTURE(gateways);
        CHECK(fleet.arrivalsSince(settled) >= leastServed);
        CHECK(static_cast<double>(fleet.mostInWindow(settled)) <= allowed(4.5));
    }
}

// Guards against callers that are told to come back long before their gateway's share allows another request.
TEST_CASE("The time until a rate limit allows the next request is longer for a smaller share")
{
    const Instant now { Seconds(1000) };
    RateLimit limit;
    limit.state(2.0, now, now);
    CHECK(limit.interval(0.5) == Duration(Milliseconds(1000)));
    CHECK(limit.timeUntilAllowed(0.5) == Duration(Milliseconds(1000)));
    CHECK(limit.interval(0.125) == Duration(Milliseconds(4000)));
    CHECK(limit.timeUntilAllowed(0.125) == Duration(Milliseconds(4000)));
}
