#include "emulator/host/EngineHost.h"
#include "emulator/host/LogLine.h"

#include <Poco/JSON/Array.h>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace teaselfold {

namespace {

    constexpr std::size_t streamCapacity = 2048;
    constexpr std::string_view completionsPath = "/v1/completions";
    constexpr std::array priorityNames { "interactive", "standard", "batch" };
    constexpr std::array orderNames { "load_model", "unload_model", "load_adapter", "change_role" };

    GenerationId generationIdFromRequestId(const std::string& requestId)
    {
        return GenerationId(XXH3_64bits(requestId.data(), requestId.size()));
    }

    template <typename Number> Number parseNumber(const std::string& text)
    {
        Number number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    /** @return the index of a name in the array, or the array's size if the name is not in it. */
    template <std::size_t Size> std::size_t indexOf(const std::array<const char*, Size>& names, const std::string& name)
    {
        return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
    }

    std::string requestIdFromPath(const std::string& path)
    {
        return path.size() > completionsPath.size() + 1 ? path.substr(completionsPath.size() + 1) : std::string();
    }

    CompletionWork parseWork(const Poco::JSON::Object& body)
    {
        CompletionWork work;
        work.model = ModelId(body.optValue<std::string>("model", ""));
        work.adapter = body.optValue<std::string>("adapter", "");
        work.prompt = body.optValue<std::string>("prompt", "");
        work.maxTokens = body.optValue<std::uint32_t>("max_tokens", 0);
        const std::size_t priority = indexOf(priorityNames, body.optValue<std::string>("priority", "standard"));
        work.priority
            = priority < priorityNames.size() ? static_cast<PriorityClass>(priority) : PriorityClass::Standard;
        return work;
    }

    void writeEvent(std::ostream& out, const Poco::JSON::Object& data)
    {
        out << "data: ";
        data.stringify(out);
        out << "\n\n";
    }

    void writeToken(std::ostream& out, std::uint32_t index, const std::string& text)
    {
        Poco::JSON::Object choice;
        choice.set("text", text);
        Poco::JSON::Array choices;
        choices.add(choice);
        Poco::JSON::Object data;
        data.set("index", index);
        data.set("choices", choices);
        writeEvent(out, data);
    }

    void writeFinish(std::ostream& out, FinishReason reason)
    {
        Poco::JSON::Object data;
        data.set("finish_reason", reason == FinishReason::Stop ? "stop" : "length");
        writeEvent(out, data);
        out << "data: [DONE]\n\n";
    }

    template <typename Values> Poco::JSON::Array jsonArray(const Values& values)
    {
        Poco::JSON::Array array;
        for (const auto& value : values)
            array.add(value);
        return array;
    }

}

void EngineHost::serve(HttpExchange& exchange)
{
    static constexpr std::array routes { Route { "POST", completionsPath, &EngineHost::serveStart },
        Route { "GET", completionsPath, &EngineHost::serveResume },
        Route { "DELETE", completionsPath, &EngineHost::serveCancel },
        Route { "GET", "/load", &EngineHost::serveReport },
        Route { "GET", "/cache_events", &EngineHost::serveCacheEvents },
        Route { "POST", "/orders", &EngineHost::serveOrder } };
    if (this->crashed)
        return dropConnection(exchange.request);
    const std::string& method = exchange.request.getMethod();
    const auto* route = std::find_if(routes.begin(), routes.end(), [&](const Route& candidate) {
        return method == candidate.method && exchange.path.starts_with(candidate.prefix);
    });
    if (route == routes.end())
        return sendStatus(exchange, 404);
    (this->*route->serve)(exchange);
}

void EngineHost::serveStart(HttpExchange& exchange)
{
    const auto body = parseObject(exchange.body);
    if (!body || !body->has("request_id"))
        return sendStatus(exchange, 400);
    const std::string requestId = body->get("request_id").toString();
    auto stream = std::make_shared<Ring<EngineEvent>>(streamCapacity);
    if (!this->commands.tryPush(
            StartCommand { EngineStart { generationIdFromRequestId(requestId), parseWork(*body) }, stream }))
        return sendStatus(exchange, 503);
    this->serveStream(exchange, *stream);
}

void EngineHost::serveResume(HttpExchange& exchange)
{
    const GenerationId generation = generationIdFromRequestId(requestIdFromPath(exchange.path));
    const auto from = parseNumber<std::uint32_t>(queryValue(exchange.query, "from"));
    auto stream = std::make_shared<Ring<EngineEvent>>(streamCapacity);
    if (!this->commands.tryPush(ResumeCommand { EngineResume { generation, from }, stream }))
        return sendStatus(exchange, 503);
    this->serveStream(exchange, *stream);
}

void EngineHost::serveCancel(HttpExchange& exchange)
{
    const bool accepted
        = this->commands.push(CancelCommand { generationIdFromRequestId(requestIdFromPath(exchange.path)) });
    sendStatus(exchange, accepted ? 200 : 503);
}

void EngineHost::serveStream(HttpExchange& exchange, Ring<EngineEvent>& events)
{
    auto event = events.popUntil(Instant::max());
    if (!event)
        return dropConnection(exchange.request);
    if (std::holds_alternative<EngineRefused>(*event))
        return sendStatus(exchange, 429);
    if (std::holds_alternative<EngineGenerationNotFound>(*event))
        return sendStatus(exchange, 404);
    exchange.response.setContentType("text/event-stream");
    exchange.response.setChunkedTransferEncoding(true);
    std::ostream& out = exchange.response.send();
    while (event && out.good()) {
        if (!this->faults.waitUntilWritable(exchange.connection))
            return this->faults.waitUntilStopped();
        if (const auto* finished = std::get_if<EngineFinished>(&*event)) {
            writeFinish(out, finished->reason);
            out.flush();
            return;
        }
        const auto* tokens = std::get_if<EngineTokens>(&*event);
        if (tokens == nullptr)
            break;
        for (std::size_t index = 0; index < tokens->texts.size(); ++index)
            writeToken(out, tokens->firstIndex + static_cast<std::uint32_t>(index), tokens->texts[index]);
        out.flush();
        event = events.popUntil(Instant::max());
    }
    dropConnection(exchange.request);
}

void EngineHost::serveReport(HttpExchange& exchange)
{
    auto reply = std::make_shared<Ring<EngineEvent>>(1);
    if (!this->commands.tryPush(ReportCommand { reply }))
        return sendStatus(exchange, 503);
    const auto event = reply->popUntil(Instant::max());
    const auto* report = event ? std::get_if<EngineReport>(&*event) : nullptr;
    if (report == nullptr)
        return dropConnection(exchange.request);
    Poco::JSON::Object body;
    body.set("incarnation", report->incarnation);
    body.set("running", report->running);
    body.set("waiting", report->waiting);
    body.set("blocks_used", report->blocksUsed);
    body.set("blocks_total", report->blocksTotal);
    body.set("tokens_per_block", report->tokensPerBlock);
    body.set("preemptions", report->preemptions);
    body.set("loaded_models", jsonArray(report->loadedModels));
    body.set("role", report->role);
    body.set("highest_fence", report->highestFence);
    // Emulator-only counters, which agents do not read.
    body.set("prompt_tokens_reused", this->promptTokensReused.load());
    body.set("prompt_tokens_computed", this->promptTokensComputed.load());
    sendJson(exchange, 200, body);
}

void EngineHost::serveCacheEvents(HttpExchange& exchange)
{
    auto reply = std::make_shared<Ring<EngineEvent>>(1);
    const auto after = parseNumber<std::uint64_t>(queryValue(exchange.query, "after"));
    if (!this->commands.tryPush(CacheEventsCommand { after, reply }))
        return sendStatus(exchange, 503);
    const auto event = reply->popUntil(Instant::max());
    const auto* batch = event ? std::get_if<EngineCacheEvents>(&*event) : nullptr;
    if (batch == nullptr)
        return dropConnection(exchange.request);
    Poco::JSON::Object body;
    body.set("sequence", batch->sequence);
    body.set("stored", jsonArray(batch->stored));
    body.set("dropped", jsonArray(batch->dropped));
    sendJson(exchange, 200, body);
}

void EngineHost::serveOrder(HttpExchange& exchange)
{
    const auto body = parseObject(exchange.body);
    const std::size_t kind = body ? indexOf(orderNames, body->optValue<std::string>("kind", "")) : orderNames.size();
    if (kind == orderNames.size())
        return sendStatus(exchange, 400);
    const EngineOrder order { static_cast<EngineOrderKind>(kind), body->optValue<std::string>("name", ""),
        body->optValue<std::string>("version", ""), body->optValue<std::uint64_t>("fence", 0) };
    auto reply = std::make_shared<Ring<EngineEvent>>(1);
    if (!this->commands.tryPush(OrderCommand { order, reply }))
        return sendStatus(exchange, 503);
    const auto event = reply->popUntil(Instant::max());
    const auto* result = event ? std::get_if<EngineOrderResult>(&*event) : nullptr;
    if (result == nullptr)
        return dropConnection(exchange.request);
    Poco::JSON::Object answer;
    answer.set("accepted", result->accepted);
    answer.set("message", result->message);
    sendJson(exchange, result->accepted ? 200 : 409, answer);
}

}
