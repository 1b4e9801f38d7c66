#include "support/LinkFakes.h"

using namespace teaselfold;

TEST_CASE("a link is up after both hellos and delivers each message to the duties that handle it")
{
    Test::LinkPair pair;
    const EndpointId endpoint("drafter-1");
    const EntryId entry("entry-1");
    pair.client->open(endpoint, pair.serverAddress());
    CHECK(Test::await<LinkUp>(pair.routerRing).endpoint == endpoint);
    const auto hello = Test::await<FromAgent>(pair.routerRing);
    CHECK(std::get<AgentHello>(hello.message).incarnation == Incarnation(7));
    CHECK(Test::await<EntryLinkUp>(pair.admissionRing).entry == entry);
    CHECK(Test::await<EntryLinkUp>(pair.callRing).entry == entry);

    pair.client->send(endpoint, SubmitGeneration { GenerationId(1), {}, Milliseconds(10) });
    pair.client->send(endpoint, SubmitCall { GenerationId(2), {}, Milliseconds(10) });
    pair.client->send(endpoint, CancelGeneration { GenerationId(3) });
    CHECK(std::holds_alternative<SubmitGeneration>(Test::await<FromEntry>(pair.admissionRing).message));
    CHECK(std::holds_alternative<CancelGeneration>(Test::await<FromEntry>(pair.admissionRing).message));
    CHECK(std::holds_alternative<SubmitCall>(Test::await<FromEntry>(pair.callRing).message));
    CHECK(std::holds_alternative<CancelGeneration>(Test::await<FromEntry>(pair.callRing).message));

    pair.server->send(entry, GenerationStarted { GenerationId(1) });
    const auto started = Test::await<FromAgent>(pair.routerRing);
    CHECK(std::get<GenerationStarted>(started.message).generation == GenerationId(1));

    pair.client->close(endpoint);
    CHECK(Test::await<EntryLinkDown>(pair.admissionRing).entry == entry);
}

TEST_CASE("a second link of an entry replaces the first without an EntryLinkDown event in between")
{
    Test::LinkPair pair;
    const EndpointId endpoint("drafter-1");
    pair.client->open(endpoint, pair.serverAddress());
    Test::await<LinkUp>(pair.routerRing);
    Test::await<EntryLinkUp>(pair.admissionRing);
    pair.client->open(endpoint, pair.serverAddress());
    Test::await<LinkUp>(pair.routerRing);
    pair.client->send(endpoint, CancelGeneration { GenerationId(9) });
    CHECK(std::holds_alternative<CancelGeneration>(Test::await<FromEntry>(pair.admissionRing).message));
}

TEST_CASE("a request for a duty that the agent does not run is rejected immediately")
{
    Test::FakeDocumentCodec documents;
    Test::SilentTelemetry telemetry;
    Ring<AgentEvent> callRing(100);
    Ring<RouterEvent> routerRing(100);
    auto server = AgentLinkServerBuilder()
                      .withAddress({ "127.0.0.1", 0 })
                      .withEndpoint(EndpointId("registry-1"))
                      .withCallRing(callRing)
                      .withCodec(documents)
                      .withTelemetry(telemetry)
                      .build();
    auto client = EntryLinkClientBuilder()
                      .withSelf(EntryId("entry-1"))
                      .withRouterRing(routerRing)
                      .withCodec(documents)
                      .withTelemetry(telemetry)
                      .build();
    REQUIRE(server->start());
    client->start();
    client->open(EndpointId("registry-1"), { "127.0.0.1", server->port() });
    Test::await<FromAgent>(routerRing);
    client->send(EndpointId("registry-1"), SubmitGeneration { GenerationId(4), {}, Milliseconds(10) });
    const auto answer = Test::await<FromAgent>(routerRing);
    CHECK(std::get<GenerationRefused>(answer.message).code == ErrorCode::NotFound);
}
