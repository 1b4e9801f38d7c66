#include "support/EngineCalls.h"

#include "adapters/engine/EngineClient.h"

#include <doctest/doctest.h>

#include <functional>

namespace teaselfold {

namespace {

    /** @return the first event of a started generation for which the condition holds. */
    EngineEvent awaitEvent(
        const Address& engine, Seconds timeout, const std::function<bool(const EngineEvent&)>& isAwaited)
    {
        constexpr std::uint32_t maxTokens = 100;
        Ring<EngineEvent> events(16);
        const auto client = EngineClientBuilder()
                                .withAddress(engine)
                                .withTimeout(Milliseconds(5000))
                                .withPollInterval(Seconds(60))
                                .withMaxStreams(1)
                                .withSink([&](const EngineEvent& event) {
                                    if (isAwaited(event))
                                        events.tryPush(event);
                                })
                                .build();
        EngineStart start;
        start.generation = GenerationId(7);
        start.work.maxTokens = maxTokens;
        REQUIRE(client->submit(start));
        const auto event = events.popUntil(std::chrono::steady_clock::now() + timeout);
        client->stop();
        REQUIRE(event);
        return *event;
    }

    bool isOfPoll(const EngineEvent& event)
    {
        return std::holds_alternative<EngineUnreachable>(event) || std::holds_alternative<EngineReport>(event)
            || std::holds_alternative<EngineCacheEvents>(event);
    }

}

EngineEvent startAtEngine(const Address& engine)
{
    return awaitEvent(engine, Seconds(10), [](const EngineEvent& event) { return !isOfPoll(event); });
}

EngineEvent lastEventOfStart(const Address& engine)
{
    return awaitEvent(engine, Seconds(30),
        [](const EngineEvent& event) { return !isOfPoll(event) && !std::holds_alternative<EngineTokens>(event); });
}

}
