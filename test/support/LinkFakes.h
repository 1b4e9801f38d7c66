#pragma once

#include "adapters/link/AgentLinkServer.h"
#include "adapters/link/EntryLinkClient.h"
#include "support/FakeDocuments.h"

#include <doctest/doctest.h>

namespace teaselfold::Test {

class SilentTelemetry final : public Telemetry {
public:
    void log(const LogEvent&) override { }
    void observe(const Observation&) override { }
};

/** Longest a test waits for an event that must come. */
constexpr Seconds patience(20);

/** Takes events from a ring until one of the wanted kind comes. */
template <typename Wanted, typename Event> Wanted await(Ring<Event>& ring)
{
    const Instant until = std::chrono::steady_clock::now() + patience;
    while (auto event = ring.popUntil(until)) {
        if (auto* wanted = std::get_if<Wanted>(&*event))
            return std::move(*wanted);
    }
    FAIL("the event did not come");
    return {};
}

/** An entry's and an agent's end of a link on loopback. */
struct LinkPair {
    explicit LinkPair(std::size_t routerCapacity = 1000)
        : routerRing(routerCapacity)
    {
        this->server = AgentLinkServerBuilder()
                           .withAddress({ "127.0.0.1", 0 })
                           .withEndpoint(EndpointId("drafter-1"))
                           .withIncarnation(Incarnation(7))
                           .withAdmissionRing(this->admissionRing)
                           .withCallRing(this->callRing)
                           .withCodec(this->documents)
                           .withTelemetry(this->telemetry)
                           .withIdleTimeout(Milliseconds(60000))
                           .build();
        this->client = EntryLinkClientBuilder()
                           .withSelf(EntryId("entry-1"))
                           .withRouterRing(this->routerRing)
                           .withCodec(this->documents)
                           .withTelemetry(this->telemetry)
                           .build();
        REQUIRE(this->server->start());
        this->client->start();
    }

    Address serverAddress() const { return { "127.0.0.1", this->server->port() }; }

    FakeDocuments documents;
    SilentTelemetry telemetry;
    Ring<RouterEvent> routerRing;
    Ring<AgentEvent> admissionRing { 1000 };
    Ring<AgentEvent> callRing { 1000 };
    std::unique_ptr<AgentLinkServer> server;
    std::unique_ptr<EntryLinkClient> client;
};

}
