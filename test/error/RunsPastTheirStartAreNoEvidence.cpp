#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

const PromptPartId part(5);

/** A gateway whose requests have a prompt part in common and take up to a minute. */
class Streams {
public:
    Streams()
    {
        this->scenario.start();
        GatewayConfiguration configuration = GatewayScenario::configuration(2);
        for (GatewayRoute& route : configuration.routes)
            route.timeout = Milliseconds(60000);
        this->scenario.handle(
            ConfigurationRead { std::make_shared<const GatewayConfiguration>(std::move(configuration)) });
    }

    void send()
    {
        GatewayRequest request;
        request.id = RequestId(++this->lastRequest);
        request.callerRequestId = "caller-" + std::to_string(this->lastRequest);
        request.method = "POST";
        request.host = "host.example";
        request.path = "/draft/1";
        request.key = "key-a";
        request.callerTimeout = Milliseconds(60000);
        request.promptTokens = 10;
        request.maxOutputTokens = 400;
        request.fingerprint = Fingerprint(this->lastRequest);
        request.sharedPromptParts = { part };
        this->scenario.handle(RequestArrived { std::move(request) });
    }
    /** Sends a request whose stream goes on for two seconds. @return the stream's exchange. */
    ExchangeParameters startStream()
    {
        this->send();
        REQUIRE(this->scenario.lastExchange());
        const ExchangeParameters exchange = *this->scenario.lastExchange();
        this->scenario.respond(GatewayScenario::streamStart());
        this->scenario.handle(EventsRelayed { exchange.exchange, 1 });
        this->wait(Milliseconds(2000));
        this->scenario.handle(EventsRelayed { exchange.exchange, 2 });
        return exchange;
    }
    void wait(Milliseconds time) { this->scenario.advance(time).refreshFromStore(); }
    /** Breaks a stream, whose engine has ended. @return true if it was resumed at another engine. */
    bool breakStream(const ExchangeParameters& exchange)
    {
        this->scenario.clearActions();
        this->scenario.handle(ExchangeEnded { exchange.exchange, ExchangeEnd::Broken });
        this->scenario.handle(MigrationResponseReceived { exchange.exchange, MigrationOutcome::Unreachable, {} });
        const auto started = this->scenario.lastAction<StartExchange>();
        return started && started->parameters.resume;
    }

    GatewayScenario scenario;

private:
    std::uint64_t lastRequest { 0 };
};

}

// Guards against a harmless part that is blamed when long streams break, are resumed, and break again at once because
// more engines crash.
TEST_CASE("A resumed stream that breaks at once is no evidence against its prompt")
{
    Streams streams;
    std::vector<ExchangeParameters> running;
    for (int stream = 0; stream < 3; ++stream)
        running.push_back(streams.startStream());
    streams.wait(Milliseconds(11000));
    for (const ExchangeParameters& exchange : running) {
        REQUIRE(streams.breakStream(exchange));
        streams.scenario.endExchange(ExchangeEnd::Broken);
        streams.wait(Milliseconds(2500));
    }
    streams.scenario.clearActions();
    streams.send();
    const auto refused = streams.scenario.lastAction<RefuseRequest>();
    CHECK_FALSE((refused && refused->failure.code == ErrorCode::Quarantined));
}

// Guards against long streams that are given up with their engine because another of their prompt's parts crashes
// engines.
TEST_CASE("A stream that got past its start is resumed although a part of its prompt is suspected")
{
    Streams streams;
    const ExchangeParameters running = streams.startStream();
    streams.wait(Milliseconds(12000));
    GossipMessage gossip;
    gossip.instance = GatewayId("gateway-2");
    gossip.sequence = 1;
    gossip.promptParts.brokenStarts
        = { { 1, 11, Milliseconds(1000), { part } }, { 2, 12, Milliseconds(100), { part } } };
    streams.scenario.handle(GossipReceived { gossip });
    CHECK(streams.breakStream(running));
}
