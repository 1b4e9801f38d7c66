#include "core/entry/EndpointChooser.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <string>
#include <vector>

// Measures the time and allocations of a routing decision and of a fleet update for several fleet sizes.

using namespace teaselfold;

namespace {

std::atomic<std::uint64_t> allocations { 0 };

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

namespace {

constexpr std::array fleetSizes { 12, 100, 730 };
constexpr std::array policies { "prefix-two-choice", "round-robin", "least-outstanding" };
constexpr int zoneCount = 8;
constexpr int decisions = 20000;
constexpr int updates = 200;
constexpr int rounds = 3;
constexpr int promptCount = 64;
constexpr std::size_t promptBytes = 2000;

class CountingRandomness final : public Randomness {
public:
    std::uint64_t next() override { return ++this->last; }

private:
    std::uint64_t last { 0 };
};

Fleet fleetOf(int size, const std::string& policy)
{
    Fleet fleet;
    fleet.version = ReleaseVersion(1);
    for (int number = 0; number < zoneCount; ++number) {
        const ZoneId id("zone-" + std::to_string(number));
        fleet.zones[id] = { id, "region" };
    }
    Service service;
    service.id = ServiceId("writers");
    service.policy.routing = policy;
    fleet.services[service.id] = service;
    for (int number = 0; number < size; ++number) {
        Endpoint endpoint;
        endpoint.id = EndpointId("writers-" + std::to_string(number));
        endpoint.zone = ZoneId("zone-" + std::to_string(number % zoneCount));
        endpoint.service = service.id;
        fleet.endpoints[endpoint.id] = endpoint;
    }
    return fleet;
}

/** A router's state in which all links are up and the endpoints have reported different loads. */
class RoutingBenchmark {
public:
    RoutingBenchmark(int size, const std::string& policy)
        : state(EntryId("entry-1"), ZoneId("zone-0"), this->randomness, RouterLimits())
    {
        this->state.fleet = fleetOf(size, policy);
        this->update();
        std::uint32_t number = 0;
        for (auto& [id, endpointState] : this->state.endpoints.all()) {
            endpointState.link = LinkState::Up;
            LoadReport report;
            report.room = 4 + number % 5;
            report.running = number % 7;
            report.pace = Milliseconds(10 + number % 3);
            endpointState.report = report;
            ++number;
        }
        for (int prompt = 0; prompt < promptCount; ++prompt)
            this->requests.push_back(this->requestFor("prefix " + std::to_string(prompt) + " "));
    }

    void update()
    {
        this->state.endpoints.update(this->state.fleet, this->state.self, this->state.limits.linksPerService);
    }

    void choose(int number)
    {
        const auto endpoint = this->chooser.choose(this->requests[number % promptCount], this->now);
        if (!endpoint)
            std::abort();
    }

private:
    LiveRequest requestFor(const std::string& prefix) const
    {
        CompletionRequest completion;
        completion.work.prompt = prefix;
        completion.work.prompt.resize(promptBytes, 'x');
        LiveRequest request;
        request.service = ServiceId("writers");
        request.origin = completion;
        return request;
    }

    CountingRandomness randomness;
    RouterState state;
    EndpointChooser chooser { this->state };
    std::vector<LiveRequest> requests;
    Instant now { Seconds(1000) };
};

struct Cost {
    double nanoseconds { 0 };
    double allocations { 0 };
};

/** @return the time of one call in the fastest round, and the allocations of one call in the last round. */
template <typename Work> Cost measure(int times, Work work)
{
    Cost best { 1e18, 0 };
    for (int round = 0; round < rounds; ++round) {
        const std::uint64_t allocated = allocations;
        const auto begin = std::chrono::steady_clock::now();
        for (int number = 0; number < times; ++number)
            work(number);
        const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - begin;
        best.nanoseconds = std::min(best.nanoseconds, elapsed.count() / times);
        best.allocations = static_cast<double>(allocations - allocated) / times;
    }
    return best;
}

}

int main()
{
    std::printf("%-20s %10s %14s %14s %16s %16s\n", "policy", "endpoints", "ns/decision", "allocations",
        "ns/fleet update", "allocations");
    for (const char* policy : policies) {
        for (const int size : fleetSizes) {
            RoutingBenchmark benchmark(size, policy);
            const Cost decision = measure(decisions, [&](int number) { benchmark.choose(number); });
            const Cost update = measure(updates, [&](int) { benchmark.update(); });
            std::printf("%-20s %10d %14.0f %14.1f %16.0f %16.1f\n", policy, size, decision.nanoseconds,
                decision.allocations, update.nanoseconds, update.allocations);
        }
    }
    return 0;
}
