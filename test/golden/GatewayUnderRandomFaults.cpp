#include "emulator/SeededRandomness.h"
#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

#include <array>
#include <cstdlib>
#include <map>

using namespace teaselfold;

namespace {

constexpr std::uint64_t defaultSeeds = 300;
constexpr int stepsPerSeed = 400;

/** Feeds random events to a gateway and checks its guarantees after each one. */
class RandomSession {
public:
    explicit RandomSession(std::uint64_t seed)
        : random(seed)
    {
        this->scenario.start();
        this->checkActions();
    }

    void play()
    {
        for (int step = 0; step < stepsPerSeed; ++step) {
            this->playRandomEvent();
            this->checkActions();
        }
    }

private:
    struct TrackedRequest {
        bool isIdempotent { false };
        /** An endpoint received the request and did not state that it was not executed. */
        bool mayHaveRun { false };
        bool isOver { false };
    };

    std::uint64_t randomBelow(std::uint64_t bound) { return this->random.next() % bound; }

    void playRandomEvent()
    {
        constexpr std::uint64_t kinds = 12;
        const std::uint64_t kind = this->randomBelow(kinds);
        if (kind < 3)
            return this->sendRandomRequest();
        if (kind < 8)
            return this->progressRandomExchange();
        if (kind == 8)
            return this->changeEndpoints();
        if (kind == 9)
            return this->respondToMigration();
        if (kind == 10)
            return this->abandonRandomRequest();
        this->scenario.advance(Milliseconds(static_cast<Milliseconds::rep>(this->randomBelow(400))));
        if (this->randomBelow(4) > 0)
            this->scenario.refreshFromStore();
    }

    void sendRandomRequest()
    {
        const std::array<std::string, 3> paths { "/read/1", "/write/1", "/draft/1" };
        const std::string& path = paths.at(this->randomBelow(paths.size()));
        const RequestId id = this->scenario.sendRequest(path);
        this->requests[id].isIdempotent = path == "/read/1";
    }

    void progressRandomExchange()
    {
        if (this->running.empty())
            return;
        auto entry = this->running.begin();
        std::advance(entry, static_cast<std::ptrdiff_t>(this->randomBelow(this->running.size())));
        const auto [exchange, request] = *entry;
        TrackedRequest& tracked = this->requests[request];
        const std::uint64_t kind = this->randomBelow(7);
        if (kind == 0) {
            this->scenario.handle(ResponseReceived { exchange, GatewayScenario::notRunRefusal() });
        } else if (kind == 1) {
            this->running.erase(exchange);
            const bool isRefused = exchange.get() % 2 == 0;
            this->scenario.handle(
                ExchangeEnded { exchange, isRefused ? ExchangeEnd::Refused : ExchangeEnd::NotConnected });
        } else if (kind == 2) {
            tracked.mayHaveRun = true;
            this->running.erase(exchange);
            this->scenario.handle(ExchangeEnded { exchange, ExchangeEnd::Broken });
        } else if (kind == 3) {
            tracked.mayHaveRun = true;
            this->scenario.handle(ResponseReceived { exchange, GatewayScenario::failure(500) });
        } else if (kind == 4) {
            tracked.mayHaveRun = true;
            this->running.erase(exchange);
            this->scenario.handle(ResponseReceived { exchange, GatewayScenario::streamStart() });
            this->scenario.handle(EventsRelayed { exchange, ++this->lastEvent });
            this->scenario.handle(ExchangeEnded { exchange, ExchangeEnd::Closed });
        } else {
            tracked.mayHaveRun = true;
            this->scenario.handle(ResponseReceived { exchange, GatewayScenario::streamStart() });
            this->scenario.handle(EventsRelayed { exchange, ++this->lastEvent });
        }
    }

    void changeEndpoints()
    {
        const std::array<std::string, 6> names { "e1", "e2", "e3", "p4", "p5", "p6" };
        const std::string& name = names.at(this->randomBelow(names.size()));
        EndpointRecord record
            = name.front() == 'e' ? GatewayScenario::engineEndpoint(name) : GatewayScenario::plainEndpoint(name);
        record.isDraining = this->randomBelow(3) == 0;
        if (this->randomBelow(4) == 0)
            this->scenario.handle(EndpointsChanged { {}, { record.id } });
        else
            this->scenario.handle(EndpointsChanged { { record }, {} });
    }

    void respondToMigration()
    {
        if (this->migrating.empty())
            return;
        const ExchangeId exchange = this->migrating.back();
        this->migrating.pop_back();
        const auto outcome = static_cast<MigrationOutcome>(this->randomBelow(5));
        this->scenario.handle(MigrationResponseReceived { exchange, outcome, KvCacheHandle("h") });
    }

    void abandonRandomRequest()
    {
        if (this->requests.empty())
            return;
        auto entry = this->requests.begin();
        std::advance(entry, static_cast<std::ptrdiff_t>(this->randomBelow(this->requests.size())));
        entry->second.isOver = true;
        this->scenario.handle(RequestAbandoned { entry->first });
    }

    void checkActions()
    {
        for (const GatewayAction& action : this->scenario.takeActions()) {
            if (const auto* started = std::get_if<StartExchange>(&action))
                this->check(*started);
            else if (const auto* refused = std::get_if<RefuseRequest>(&action))
                this->check(*refused);
            else if (const auto* completed = std::get_if<CompleteResponse>(&action))
                this->check(*completed);
            else if (const auto* cancelled = std::get_if<CancelExchange>(&action))
                this->running.erase(cancelled->exchange);
            else if (const auto* aborted = std::get_if<AbortResponse>(&action))
                this->requests[aborted->request].isOver = true;
            else if (const auto* migration = std::get_if<StartMigration>(&action))
                this->migrating.push_back(migration->exchange);
        }
    }

    void check(const StartExchange& started)
    {
        const TrackedRequest& tracked = this->requests[started.parameters.request];
        CHECK_FALSE(tracked.isOver);
        const bool isNewRun = !started.parameters.resume;
        CHECK_FALSE((isNewRun && tracked.mayHaveRun && !tracked.isIdempotent));
        for (const auto& [exchange, request] : this->running)
            CHECK(request != started.parameters.request);
        this->running[started.parameters.exchange] = started.parameters.request;
    }

    void check(const RefuseRequest& refused)
    {
        TrackedRequest& tracked = this->requests[refused.request];
        CHECK_FALSE(tracked.isOver);
        CHECK_FALSE((refused.failure.run == Executed::No && tracked.mayHaveRun));
        tracked.isOver = true;
    }

    void check(const CompleteResponse& completed)
    {
        TrackedRequest& tracked = this->requests[completed.request];
        CHECK_FALSE(tracked.isOver);
        for (const auto& [exchange, request] : this->running)
            CHECK(request != completed.request);
        tracked.isOver = true;
    }

    GatewayScenario scenario;
    SeededRandomness random;
    std::map<RequestId, TrackedRequest> requests;
    std::map<ExchangeId, RequestId> running;
    std::vector<ExchangeId> migrating;
    std::uint64_t lastEvent { 0 };
};

std::uint64_t seedsToPlay()
{
    const char* text = std::getenv("TEASELFOLD_SOAK_SEEDS");
    return text ? std::strtoull(text, nullptr, 10) : defaultSeeds;
}

}

TEST_CASE("Under random faults a gateway never repeats a non-idempotent run, reports a run as not run or answers twice")
{
    for (std::uint64_t seed = 1; seed <= seedsToPlay(); ++seed) {
        CAPTURE(seed);
        RandomSession(seed).play();
    }
}
