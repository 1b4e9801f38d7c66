#include "support/EngineCalls.h"

#include "adapters/engine/EngineClient.h"

#include <doctest/doctest.h>

namespace teaselfold {

EngineEvent startAtEngine(const Address& engine)
{
    constexpr Seconds answerTimeout(10);
    Ring<EngineEvent> events(16);
    const auto client = EngineClientBuilder()
                            .withAddress(engine)
                            .withTimeout(Milliseconds(5000))
                            .withPollInterval(Seconds(60))
                            .withMaxStreams(1)
                            .withSink([&](const EngineEvent& event) { events.tryPush(event); })
                            .build();
    EngineStart start;
    start.generation = GenerationId(7);
    REQUIRE(client->submit(start));
    std::optional<EngineEvent> event;
    do {
        event = events.popUntil(std::chrono::steady_clock::now() + answerTimeout);
        REQUIRE(event);
    } while (std::holds_alternative<EngineUnreachable>(*event));
    client->stop();
    return *event;
}

}
