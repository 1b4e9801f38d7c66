#include "emulator/SeededRandomness.h"
#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

#include <array>
#include <cstdlib>
#include <map>

using namespace teaselfold;

namespace {

constexpr std::uint64_t defaultSeeds = 300;
constexpr int stepsOfOneSeed = 400;

/** Plays random events against a gateway and checks after each that its promises hold. */
class RandomSession {
public:
    explicit RandomSession(std::uint64_t seed)
        : random(seed)
    {
        this->scenario.start();
        this->observe();
    }

    void play()
    {
        for (int step = 0; step < stepsOfOneSeed; ++step) {
            this->act();
            this->observe();
        }
    }

private:
    struct Life {
        bool isIdempotent { false };
        /** An endpoint had the request and did not say that nothing ran. */
        bool mayHaveRun { false };
        bool isOver { false };
    };

    std::uint64_t below(std::uint64_t bound) { return this->random.next() % bound; }

    void act()
    {
        constexpr std::uint64_t kinds = 12;
        const std::uint64_t kind = this->below(kinds);
        if (kind < 3)
            return this->arrive();
        if (kind < 8)
            return this->endOne();
        if (kind == 8)
            return this->changeEndpoints();
        if (kind == 9)
            return this->answerMove();
        if (kind == 10)
            return this->leave();
        this->scenario.pass(Milliseconds(static_cast<Milliseconds::rep>(this->below(400))));
        if (this->below(4) > 0)
            this->scenario.storeAnswers();
    }

    void arrive()
    {
        const std::array<std::string, 3> paths { "/read/1", "/write/1", "/draft/1" };
        const std::string& path = paths.at(this->below(paths.size()));
        const RequestId id = this->scenario.arrive(path);
        this->lives[id].isIdempotent = path == "/read/1";
    }

    void endOne()
    {
        if (this->running.empty())
            return;
        auto entry = this->running.begin();
        std::advance(entry, static_cast<std::ptrdiff_t>(this->below(this->running.size())));
        const auto [exchange, request] = *entry;
        Life& life = this->lives[request];
        const std::uint64_t kind = this->below(6);
        if (kind == 0) {
            this->scenario.give(ResponseReceived { exchange, GatewayScenario::full() });
        } else if (kind == 1) {
            this->running.erase(exchange);
            this->scenario.give(ExchangeEnded { exchange, ExchangeEnd::NotConnected });
        } else if (kind == 2) {
            life.mayHaveRun = true;
            this->running.erase(exchange);
            this->scenario.give(ExchangeEnded { exchange, ExchangeEnd::Broken });
        } else if (kind == 3) {
            life.mayHaveRun = true;
            this->scenario.give(ResponseReceived { exchange, GatewayScenario::failure(500) });
        } else {
            life.mayHaveRun = true;
            this->scenario.give(ResponseReceived { exchange, GatewayScenario::stream() });
            this->scenario.give(EventsRelayed { exchange, ++this->lastEvent });
        }
    }

    void changeEndpoints()
    {
        const std::array<std::string, 6> names { "e1", "e2", "e3", "p4", "p5", "p6" };
        const std::string& name = names.at(this->below(names.size()));
        EndpointRecord record = name.front() == 'e' ? GatewayScenario::engine(name) : GatewayScenario::plain(name);
        record.isDraining = this->below(3) == 0;
        if (this->below(4) == 0)
            this->scenario.give(EndpointsChanged { {}, { record.id } });
        else
            this->scenario.give(EndpointsChanged { { record }, {} });
    }

    void answerMove()
    {
        if (this->moving.empty())
            return;
        const ExchangeId exchange = this->moving.back();
        this->moving.pop_back();
        const auto outcome = static_cast<MigrationOutcome>(this->below(5));
        this->scenario.give(MigrationResponseReceived { exchange, outcome, KvCacheHandle("h") });
    }

    void leave()
    {
        if (this->lives.empty())
            return;
        auto entry = this->lives.begin();
        std::advance(entry, static_cast<std::ptrdiff_t>(this->below(this->lives.size())));
        entry->second.isOver = true;
        this->scenario.give(RequestAbandoned { entry->first });
    }

    void observe()
    {
        for (const GatewayAction& action : this->scenario.takeAll()) {
            if (const auto* started = std::get_if<StartExchange>(&action))
                this->check(*started);
            else if (const auto* refused = std::get_if<RefuseRequest>(&action))
                this->check(*refused);
            else if (const auto* cancelled = std::get_if<CancelExchange>(&action))
                this->running.erase(cancelled->exchange);
            else if (const auto* cut = std::get_if<AbortResponse>(&action))
                this->lives[cut->request].isOver = true;
            else if (const auto* move = std::get_if<StartMigration>(&action))
                this->moving.push_back(move->exchange);
        }
    }

    void check(const StartExchange& started)
    {
        const Life& life = this->lives[started.parameters.request];
        CHECK_FALSE(life.isOver);
        const bool isFresh = !started.parameters.resume;
        CHECK_FALSE((isFresh && life.mayHaveRun && !life.isIdempotent));
        for (const auto& [exchange, request] : this->running)
            CHECK(request != started.parameters.request);
        this->running[started.parameters.exchange] = started.parameters.request;
    }

    void check(const RefuseRequest& refused)
    {
        Life& life = this->lives[refused.request];
        CHECK_FALSE(life.isOver);
        CHECK_FALSE((refused.failure.run == Executed::No && life.mayHaveRun));
        life.isOver = true;
    }

    GatewayScenario scenario;
    SeededRandomness random;
    std::map<RequestId, Life> lives;
    std::map<ExchangeId, RequestId> running;
    std::vector<ExchangeId> moving;
    std::uint64_t lastEvent { 0 };
};

std::uint64_t seedsToPlay()
{
    const char* text = std::getenv("TEASELFOLD_SOAK_SEEDS");
    return text ? std::strtoull(text, nullptr, 10) : defaultSeeds;
}

}

TEST_CASE("Under random faults a gateway never repeats, promises wrongly or answers twice")
{
    for (std::uint64_t seed = 1; seed <= seedsToPlay(); ++seed) {
        CAPTURE(seed);
        RandomSession(seed).play();
    }
}
