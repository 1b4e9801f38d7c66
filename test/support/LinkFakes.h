#pragma once

#include "adapters/link/AgentLinkServer.h"
#include "adapters/link/EntryLinkClient.h"
#include "support/FakeDocumentCodec.h"

#include <doctest/doctest.h>

namespace teaselfold::Test {

/** Discards all logs and observations. */
class SilentTelemetry final : public Telemetry {
public:
    void log(const LogEvent&) override { }
    void observe(const Observation&) override { }
};

/** Longest wait of a test for an expected event. */
constexpr Seconds eventTimeout(20);

/** Pops events from a ring until one of the wanted type arrives; fails the test at the timeout. */
template <typename Wanted, typename Event> Wanted await(Ring<Event>& ring)
{
    const Instant deadline = std::chrono::steady_clock::now() + eventTimeout;
    while (auto event = ring.popUntil(deadline)) {
        if (auto* wanted = std::get_if<Wanted>(&*event))
            return std::move(*wanted);
    }
    FAIL("the expected event did not arrive in time");
    return {};
}

/** The entry side and the agent side of links over loopback. */
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

    FakeDocumentCodec documents;
    SilentTelemetry telemetry;
    Ring<RouterEvent> routerRing;
    Ring<AgentEvent> admissionRing { 1000 };
    Ring<AgentEvent> callRing { 1000 };
    std::unique_ptr<AgentLinkServer> server;
    std::unique_ptr<EntryLinkClient> client;
};

}
