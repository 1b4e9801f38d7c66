#include "adapters/settings/EntrySettings.h"
#include "support/ControlHarness.h"
#include "support/RouterHarness.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace teaselfold;

namespace {

const EndpointId first("drafter-1");
const EndpointId second("drafter-2");
const Address firstAgent { "127.0.0.1", 7101 };
const Address secondAgent { "127.0.0.1", 7102 };

/** The router of an entry without a configuration, with the entry's controller while the table is unavailable. */
class OutageHarness {
public:
    OutageHarness()
        : control("entry-9", this->platform)
        , router(RouterBuilder()
                     .withSelf(EntryId("entry-9"))
                     .withRandomness(this->randomness)
                     .withSeedAgents({ { first, firstAgent }, { second, secondAgent } })
                     .build())
    {
        this->control.fault = test::PlatformFault::Unavailable;
        this->control.advanceTime(Seconds(1));
        this->send(RouterTick {});
    }

    /** Sends an event to the router and forwards the router's messages to the controller. */
    void send(const RouterEvent& event)
    {
        this->now += Milliseconds(10);
        this->actions = this->router->handle(event, this->now);
        for (const RouterAction& action : this->actions)
            if (const auto* toControl = std::get_if<ToControl>(&action))
                this->control.send(PeerUpdate { toControl->endpoint, toControl->message });
    }

    /** Connects an agent that holds a version and answers the request for its configuration. */
    void connectPeer(const EndpointId& endpoint, std::uint64_t version)
    {
        Fleet fleet;
        fleet.version = ReleaseVersion(version);
        fleet.zones[ZoneId("kgl-a")] = { ZoneId("kgl-a"), "kigali" };
        LoadReport report;
        report.release = fleet.version;
        this->send(LinkUp { endpoint });
        this->send(FromAgent { endpoint, AgentHello { endpoint, Incarnation(1) } });
        this->send(FromAgent { endpoint, report });
        CHECK(this->hasRequestedFleet(endpoint));
        this->send(FromAgent { endpoint, FleetCopy { fleet } });
    }

    bool hasRequestedFleet(const EndpointId& endpoint) const
    {
        return std::ranges::find(this->actions, RouterAction(ToAgent { endpoint, FleetRequest {} }))
            != this->actions.end();
    }

    bool hasOpenedLink(const EndpointId& endpoint, const Address& address) const
    {
        return std::ranges::find(this->actions, RouterAction(OpenLink { endpoint, address })) != this->actions.end();
    }

    test::MemoryPlatform platform;
    test::ControlHarness control;
    SequentialRandomness randomness;
    std::unique_ptr<Router> router;
    std::vector<RouterAction> actions;
    Instant now { Seconds(1000) };
};

}

TEST_CASE("an entry that starts while the store is down uses the highest version of its seed agents")
{
    OutageHarness harness;
    CHECK(harness.hasOpenedLink(first, firstAgent));
    CHECK(harness.hasOpenedLink(second, secondAgent));
    harness.connectPeer(first, 6);
    CHECK_FALSE(harness.control.controller.isReady());
    harness.connectPeer(second, 7);
    harness.control.advanceTime(Seconds(4));
    CHECK(harness.control.controller.isReady());
    CHECK(harness.control.view().fleet.version == ReleaseVersion(7));
    CHECK_FALSE(harness.control.view().tableReachable);
}

TEST_CASE("links to seed agents that the configuration does not contain are closed")
{
    OutageHarness harness;
    harness.send(LinkUp { first });
    Fleet fleet;
    fleet.version = ReleaseVersion(3);
    const EndpointId third("drafter-3");
    fleet.endpoints[third] = { third, ZoneId("kgl-a"), ServiceId("drafters"), { "127.0.0.1", 7103 }, true };
    harness.send(FleetChanged { fleet });
    CHECK(std::ranges::find(harness.actions, RouterAction(CloseLink { first })) != harness.actions.end());
    CHECK(harness.hasOpenedLink(third, { "127.0.0.1", 7103 }));
    CHECK(harness.router->ready());
}

TEST_CASE("every invalid item of the seed agents' list is reported")
{
    const auto loaded = loadEntrySettings(
        "instance: e\nzone: z\nregion: r\ncallers: 127.0.0.1:1\nadmin: 127.0.0.1:2\nplatform: 127.0.0.1:3\n"
        "admin_tokens_required: false\nseed_agents: [{endpoint: a, agent: host:1}, {agent: 127.0.0.1:4}, 7]\n",
        {});
    REQUIRE(std::holds_alternative<std::vector<SettingProblem>>(loaded));
    const auto& problems = std::get<std::vector<SettingProblem>>(loaded);
    REQUIRE(problems.size() == 3);
    CHECK(problems[0].path == "seed_agents[0].agent");
    CHECK(problems[1].path == "seed_agents[1].endpoint");
    CHECK(problems[2].expected == "{endpoint, agent}");
}
