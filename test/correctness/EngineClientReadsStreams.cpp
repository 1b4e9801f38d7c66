#include "adapters/engine/EngineClient.h"
#include "emulator/host/EngineHost.h"

#include <Poco/Net/ServerSocket.h>
#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

constexpr Seconds eventTimeout { 20 };

std::uint16_t freePort()
{
    Poco::Net::ServerSocket probe(Poco::Net::SocketAddress("127.0.0.1", 0));
    return probe.address().port();
}

/** The tokens of one generation and how it ended. */
struct Collected {
    std::vector<std::string> texts;
    bool finished { false };
    bool refused { false };
    bool notFound { false };
};

Collected collect(Ring<EngineEvent>& events)
{
    Collected collected;
    const Instant deadline = std::chrono::steady_clock::now() + eventTimeout;
    while (const auto event = events.popUntil(deadline)) {
        if (const auto* tokens = std::get_if<EngineTokens>(&*event)) {
            CHECK(tokens->firstIndex >= collected.texts.size());
            collected.texts.insert(collected.texts.end(), tokens->texts.begin(), tokens->texts.end());
        }
        collected.finished = std::holds_alternative<EngineFinished>(*event);
        collected.refused = std::holds_alternative<EngineRefused>(*event);
        collected.notFound = std::holds_alternative<EngineGenerationNotFound>(*event);
        if (collected.finished || collected.refused || collected.notFound)
            return collected;
    }
    return collected;
}

}

TEST_CASE("the engine client starts and resumes streams and reports the engine's load over HTTP")
{
    const Address address { "127.0.0.1", freePort() };
    EngineHost host(EngineHostSettings { address, 10, Milliseconds(0) }, EngineSettings {});
    host.start();
    Ring<EngineEvent> events(4096);
    Ring<EngineEvent> reports(4096);
    const auto client = EngineClientBuilder()
                            .withAddress(address)
                            .withMaxStreams(4)
                            .withSink([&](const EngineEvent& event) {
                                const bool isPollResult = std::holds_alternative<EngineReport>(event)
                                    || std::holds_alternative<EngineCacheEvents>(event);
                                (isPollResult ? reports : events).tryPush(event);
                            })
                            .build();
    CompletionWork work;
    work.model = ModelId("drafter");
    work.prompt = "a draft";
    work.maxTokens = 12;
    CHECK(client->submit(EngineStart { GenerationId(77), work }));
    const Collected complete = collect(events);
    CHECK(complete.finished);
    CHECK(client->submit(EngineResume { GenerationId(77), 0 }));
    CHECK(collect(events).texts == complete.texts);
    CHECK(client->submit(EngineResume { GenerationId(78), 0 }));
    CHECK(collect(events).notFound);
    work.model = ModelId("absent");
    CHECK(client->submit(EngineStart { GenerationId(79), work }));
    CHECK(collect(events).refused);
    const auto report = reports.popUntil(std::chrono::steady_clock::now() + eventTimeout);
    REQUIRE(report);
    CHECK(std::get<EngineReport>(*report).loadedModels == std::vector<std::string> { "drafter" });
    client->stop();
    host.stop();
}
