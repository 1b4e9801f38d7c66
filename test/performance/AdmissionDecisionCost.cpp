#include "core/agent/AdmissionController.h"

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <string>

using namespace teaselfold;

namespace {

std::uint64_t allocations = 0;

const EntryId entryId { "entry-1" };
const EndpointId endpointId { "drafter-1" };
const ServiceId serviceId { "fold-drafters" };
const ModelId modelId { "drafter" };

/** An agent with a busy, warm engine; each team has one queued or running generation. */
class BusyAgent {
public:
    explicit BusyAgent(std::uint32_t teams)
        : admission(AdmissionControllerBuilder()
                        .withEndpoint(endpointId)
                        .withZone(ZoneId("zone-1"))
                        .withIncarnation(Incarnation(1))
                        .withLimits(largeLimits())
                        .build())
    {
        this->admission.handle(EntryLinkUp { entryId }, this->now);
        this->fromEntry(EntryHello { entryId });
        this->fromEntry(FleetCopy { fleetOf(teams) });
        EngineReport report;
        report.incarnation = 1;
        report.blocksTotal = 4096;
        report.tokensPerBlock = 16;
        report.loadedModels = { modelId.get() };
        this->admission.handle(FromEngine { report }, this->now);
        this->warmUp();
        for (std::uint32_t team = 0; team < teams; ++team)
            this->submit(team);
    }

    void submit(std::uint32_t team)
    {
        SubmitGeneration message;
        message.generation = GenerationId(++this->lastId);
        message.budget = Seconds(3600);
        message.work.team = teamOf(team);
        message.work.model = modelId;
        message.work.prompt.assign(900, 'x');
        message.work.fingerprint = Fingerprint(this->lastId);
        this->fromEntry(std::move(message));
    }

    /** Cancels the generation that was submitted last. */
    void cancelNewest() { this->fromEntry(CancelGeneration { GenerationId(this->lastId) }); }

    std::size_t queued() const { return this->admission.queuedCount(); }
    std::size_t running() const { return this->admission.runningCount(); }

private:
    static AgentLimits largeLimits()
    {
        AgentLimits limits;
        limits.queueCapacity = 4096;
        limits.reportInterval = Seconds(3600);
        return limits;
    }

    static TeamId teamOf(std::uint32_t number) { return TeamId("team-" + std::to_string(number)); }

    static Fleet fleetOf(std::uint32_t teams)
    {
        Fleet fleet;
        fleet.version = ReleaseVersion(1);
        const ZoneId zone("zone-1");
        fleet.zones[zone] = Zone { zone, "region" };
        Service service;
        service.id = serviceId;
        fleet.services[serviceId] = service;
        fleet.models[modelId] = Model { modelId, serviceId, "1", {} };
        fleet.endpoints[endpointId] = Endpoint { endpointId, zone, serviceId, Address { "127.0.0.1", 1 }, true };
        for (std::uint32_t team = 0; team < teams; ++team)
            fleet.teams[teamOf(team)] = Team { teamOf(team), 1, 1000, {} };
        return fleet;
    }

    void warmUp()
    {
        while (this->admission.isCold()) {
            this->now += Seconds(1);
            this->submit(0);
            const GenerationId id(this->lastId);
            this->admission.handle(FromEngine { EngineTokens { id, 0, { "a" } } }, this->now);
            this->admission.handle(FromEngine { EngineFinished { id, FinishReason::Stop } }, this->now);
        }
    }

    void fromEntry(EntryMessage message)
    {
        this->admission.handle(FromEntry { entryId, std::move(message) }, this->now);
    }

    AdmissionController admission;
    Instant now {};
    std::uint64_t lastId { 0 };
};

void measure(std::uint32_t teams)
{
    constexpr std::uint32_t rounds = 20000;
    BusyAgent agent(teams);
    const std::uint64_t before = allocations;
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint32_t round = 0; round < rounds; ++round) {
        agent.submit(round % teams);
        agent.cancelNewest();
    }
    const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - begin;
    std::printf("%u teams (%zu running, %zu waiting): %.0f ns and %.1f allocations for a submit and its cancel\n",
        teams, agent.running(), agent.queued(), spent.count() / rounds,
        static_cast<double>(allocations - before) / rounds);
}

}

void* operator new(std::size_t size)
{
    ++allocations;
    if (void* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

int main()
{
    for (const std::uint32_t teams : { 10U, 340U })
        measure(teams);
    return 0;
}
