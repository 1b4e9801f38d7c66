#include "adapters/settings/EntrySettings.h"
#include "support/ControlScript.h"
#include "support/RouterBench.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace teaselfold;

namespace {

const EndpointId first("drafter-1");
const EndpointId second("drafter-2");
const Address firstAgent { "127.0.0.1", 7101 };
const Address secondAgent { "127.0.0.1", 7102 };

/** A router that has no configuration, with the keeper of the same entry while the table is down. */
class OutageBench {
public:
    OutageBench()
        : control("entry-9", this->platform)
        , router(RouterBuilder()
                     .withSelf(EntryId("entry-9"))
                     .withRandomness(this->randomness)
                     .withSeedAgents({ { first, firstAgent }, { second, secondAgent } })
                     .build())
    {
        this->control.weather = test::Weather::Down;
        this->control.pass(Seconds(1));
        this->send(RouterTick {});
    }

    /** Sends an event to the router and what it tells the keeper on to the keeper. */
    void send(const RouterEvent& event)
    {
        this->now += Milliseconds(10);
        this->actions = this->router->handle(event, this->now);
        for (const RouterAction& action : this->actions)
            if (const auto* told = std::get_if<ToControl>(&action))
                this->control.send(PeerUpdate { told->endpoint, told->message });
    }

    /** An agent that holds a version links up, reports and answers the request for its configuration. */
    void peer(const EndpointId& endpoint, std::uint64_t version)
    {
        Fleet fleet;
        fleet.version = ReleaseVersion(version);
        fleet.zones[ZoneId("kgl-a")] = { ZoneId("kgl-a"), "kigali" };
        LoadReport report;
        report.release = fleet.version;
        this->send(LinkUp { endpoint });
        this->send(FromAgent { endpoint, AgentHello { endpoint, Incarnation(1) } });
        this->send(FromAgent { endpoint, report });
        CHECK(this->asked(endpoint));
        this->send(FromAgent { endpoint, FleetCopy { fleet } });
    }

    bool asked(const EndpointId& endpoint) const
    {
        return std::ranges::find(this->actions, RouterAction(ToAgent { endpoint, FleetRequest {} }))
            != this->actions.end();
    }

    bool opened(const EndpointId& endpoint, const Address& address) const
    {
        return std::ranges::find(this->actions, RouterAction(OpenLink { endpoint, address })) != this->actions.end();
    }

    test::MemoryPlatform platform;
    test::ControlScript control;
    CountingRandomness randomness;
    std::unique_ptr<Router> router;
    std::vector<RouterAction> actions;
    Instant now { Seconds(1000) };
};

}

TEST_CASE("an entry that starts while the store is down takes the highest version of its seed agents")
{
    OutageBench bench;
    CHECK(bench.opened(first, firstAgent));
    CHECK(bench.opened(second, secondAgent));
    bench.peer(first, 6);
    CHECK_FALSE(bench.control.keeper.isReady());
    bench.peer(second, 7);
    bench.control.pass(Seconds(4));
    CHECK(bench.control.keeper.isReady());
    CHECK(bench.control.view().fleet.version == ReleaseVersion(7));
    CHECK_FALSE(bench.control.view().tableReachable);
}

TEST_CASE("seed agents that the configuration does not know are left")
{
    OutageBench bench;
    bench.send(LinkUp { first });
    Fleet fleet;
    fleet.version = ReleaseVersion(3);
    const EndpointId third("drafter-3");
    fleet.endpoints[third] = { third, ZoneId("kgl-a"), ServiceId("drafters"), { "127.0.0.1", 7103 }, true };
    bench.send(FleetChanged { fleet });
    CHECK(std::ranges::find(bench.actions, RouterAction(CloseLink { first })) != bench.actions.end());
    CHECK(bench.opened(third, { "127.0.0.1", 7103 }));
    CHECK(bench.router->ready());
}

TEST_CASE("every fault of the seed agents' list is told")
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
