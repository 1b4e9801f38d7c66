#include "emulator/host/ServiceHost.h"

#include "emulator/host/LogLine.h"

#include <algorithm>
#include <array>

namespace teaselfold {

namespace {

    constexpr std::size_t ringCapacity = 1024;
    constexpr Seconds dutyPeriod { 1 };
    constexpr std::string_view countsPath = "/runs";
    constexpr std::array supportedModes { "none", "slow", "freeze", "die", "die_after_run", "silent", "lose_answers",
        "down" };

    bool isSupportedMode(const Fault& fault)
    {
        return std::find(supportedModes.begin(), supportedModes.end(), fault.mode) != supportedModes.end();
    }

}

ServiceHost::ServiceHost(const Address& listen, Milliseconds delay)
    : delay(delay)
    , duty("service", ringCapacity, dutyPeriod)
    , server(
          listen, ServerLimits {}, this->faults, [this](HttpExchange& exchange) { this->serve(exchange); },
          isSupportedMode)
{
}

ServiceHost::~ServiceHost() { this->stop(); }

void ServiceHost::start()
{
    this->duty.start(this->handler);
    this->server.start();
}

void ServiceHost::stop()
{
    this->server.stop();
    this->duty.stop();
}

void ServiceHost::ModelHandler::handle(const Call& call, Instant)
{
    if (call.countsOnly) {
        call.reply->tryPush(Reply { this->model.runs(), this->model.runsByKey() });
        return;
    }
    call.reply->tryPush(Reply { this->model.run(call.key), {} });
}

std::optional<ServiceHost::Reply> ServiceHost::callModel(bool countsOnly, const std::string& key)
{
    auto reply = std::make_shared<Ring<Reply>>(1);
    if (!this->duty.ring().tryPush(Call { countsOnly, key, reply }))
        return std::nullopt;
    return reply->popUntil(Instant::max());
}

void ServiceHost::serve(HttpExchange& exchange)
{
    if (exchange.request.getMethod() == "GET" && exchange.path == countsPath)
        return this->serveCounts(exchange);
    this->serveCall(exchange);
}

void ServiceHost::serveCounts(HttpExchange& exchange)
{
    const auto reply = this->callModel(true, {});
    if (!reply)
        return sendStatus(exchange, 503);
    Poco::JSON::Object byKey;
    for (const auto& [key, count] : reply->byKey)
        byKey.set(key, count);
    Poco::JSON::Object body;
    body.set("total", reply->number);
    body.set("by_key", byKey);
    sendJson(exchange, 200, body);
}

void ServiceHost::waitForDelay()
{
    if (this->delay == Milliseconds(0))
        return;
    // Nothing is pushed into this ring, so the pop blocks for the whole delay.
    Ring<int> neverFilled(1);
    neverFilled.popUntil(std::chrono::steady_clock::now() + this->delay);
}

void ServiceHost::serveCall(HttpExchange& exchange)
{
    this->waitForDelay();
    const std::string key = exchange.request.get("Idempotency-Key", "");
    const auto reply = this->callModel(false, key);
    if (!reply)
        return sendStatus(exchange, 503);
    logLine(LogEvent { "run",
        { { "number", std::to_string(reply->number) }, { "key", key }, { "method", exchange.request.getMethod() },
            { "path", exchange.path } } });
    this->faults.exitIfDieAfterRun();
    Poco::JSON::Object body;
    body.set("number", reply->number);
    body.set("method", exchange.request.getMethod());
    body.set("path", exchange.path);
    sendJson(exchange, 200, body);
}

}
