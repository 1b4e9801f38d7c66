#include "core/gateway/GatewayLog.h"

#include "core/gateway/StreamMigrator.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace teaselfold::Internal {

namespace {

    /** Adds the endpoint of an exchange, and how far the request's run got there. */
    void appendExchange(LogEvent& line, const Exchange& exchange, Instant now)
    {
        line.fields.push_back({ "endpoint", exchange.endpoint.get() });
        line.fields.push_back({ "sent_ms_ago", millisecondsText(now - exchange.startedAt) });
        line.fields.push_back(
            { "first_event_ms_ago", exchange.firstEventAt ? millisecondsText(now - *exchange.firstEventAt) : "none" });
        line.fields.push_back({ "last_event", std::to_string(exchange.lastEventId) });
    }

    /** @return what a request in progress waits for. */
    std::string_view progressName(const ActiveRequest& active)
    {
        if (!active.exchange)
            return active.migration ? "moving" : "waiting";
        if (StreamMigrator::mayBeStopped(active))
            return "moving";
        return active.responseStarted ? "streaming" : "sent";
    }

    double milliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

}

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<Milliseconds>(duration).count());
}

void observe(GatewayActions& actions, const ActiveRequest& active, Metric metric, double value, std::string label)
{
    const auto lowest = static_cast<std::uint32_t>(PriorityClass::Batch);
    const auto priority = static_cast<PriorityClass>(std::min(active.priority, lowest));
    actions.emplace_back(Observation { metric, active.team.value_or(TeamId()), priority, value, std::move(label) });
}

void observeCompleted(GatewayActions& actions, const ActiveRequest& active, Instant now)
{
    observe(actions, active, Metric::Completed, 1, active.route->name);
    if (active.route->kind != RequestKind::Stream)
        return observe(actions, active, Metric::CallDuration, milliseconds(now - active.arrivedAt));
    if (active.firstEventAt)
        observe(actions, active, Metric::FirstToken, milliseconds(*active.firstEventAt - active.arrivedAt));
    observe(actions, active, Metric::Stall, milliseconds(active.longestPause));
    const double tokens = static_cast<double>(active.lastEventId)
        * (active.service->engine ? active.service->engine->tokensPerEvent : 1);
    observe(actions, active, Metric::OutputLength, tokens);
    if (!active.likelyOutput.empty())
        observe(actions, active, Metric::OutputLengthError,
            std::abs(static_cast<double>(expectedLength(active.likelyOutput)) - tokens));
}

LogEvent requestLogEvent(std::string name, const ActiveRequest& active, Instant now)
{
    LogEvent line { std::move(name), {} };
    line.fields.push_back({ "request", active.request.callerRequestId });
    line.fields.push_back({ "route", active.route->name });
    line.fields.push_back({ "version", std::to_string(active.configuration->version) });
    line.fields.push_back({ "age_ms", millisecondsText(now - active.arrivedAt) });
    return line;
}

LogEvent completedLogEvent(const ActiveRequest& active, Instant now)
{
    auto line = requestLogEvent("completed", active, now);
    if (!active.firstEventAt)
        return line;
    line.fields.push_back({ "first_event_ms", millisecondsText(*active.firstEventAt - active.arrivedAt) });
    line.fields.push_back({ "longest_pause_ms", millisecondsText(active.longestPause) });
    line.fields.push_back({ "last_event", std::to_string(active.lastEventId) });
    if (active.service->engine) {
        line.fields.push_back({ "expected_events", std::to_string(active.events) });
        line.fields.push_back({ "caller_estimate", std::to_string(active.request.expectedOutputTokens) });
        line.fields.push_back({ "max_tokens", std::to_string(active.request.maxOutputTokens) });
    }
    return line;
}

LogEvent brokenExchangeLogEvent(const ActiveRequest& active, const Exchange& exchange, Instant now)
{
    auto line = requestLogEvent("exchange_broken", active, now);
    appendExchange(line, exchange, now);
    if (!active.request.sharedPromptParts.empty())
        line.fields.push_back({ "prompt_parts", promptPartsText(active.request.sharedPromptParts) });
    return line;
}

LogEvent endedLogEvent(std::string name, const GatewayState& state, const ActiveRequest& active, Instant now)
{
    auto line = requestLogEvent(std::move(name), active, now);
    line.fields.push_back({ "progress", std::string(progressName(active)) });
    const Executed run = active.exchange ? Executed::Unknown : executedStateOf(active);
    line.fields.push_back({ "run", std::string(executedName(run)) });
    if (active.exchange)
        appendExchange(line, state.exchanges.at(*active.exchange), now);
    return line;
}

LogEvent notResumedLogEvent(const GatewayState& state, const ActiveRequest& active, const EndpointId& endpoint,
    const std::string& reason, Instant now)
{
    auto line = requestLogEvent("not_resumed", active, now);
    line.fields.push_back({ "endpoint", endpoint.get() });
    line.fields.push_back({ "endpoint_state", std::string(state.endpoints.stateName(endpoint, now)) });
    line.fields.push_back({ "reason", reason });
    return line;
}

LogEvent stopLogEvent(const PlannedStop& stop, Instant now)
{
    return { "stop_complete",
        { { "time_ms", millisecondsText(now - stop.requestedAt) }, { "completed", std::to_string(stop.completed) },
            { "refused", std::to_string(stop.refused) }, { "failed", std::to_string(stop.failed) },
            { "resumed", std::to_string(stop.resumed) }, { "cut", std::to_string(stop.cut) } } };
}

LogEvent rateLimitLogEvent(
    const EndpointId& endpoint, std::optional<double> requestsPerSecond, const std::string& announcedBy)
{
    LogEvent line { requestsPerSecond ? "endpoint_limited" : "endpoint_limit_lifted", {} };
    line.fields.push_back({ "endpoint", endpoint.get() });
    if (requestsPerSecond) {
        std::array<char, 32> rate {};
        std::snprintf(rate.data(), rate.size(), "%.3f", *requestsPerSecond);
        line.fields.push_back({ "requests_per_s", rate.data() });
    }
    line.fields.push_back({ "announced_by", announcedBy });
    return line;
}

std::string promptPartsText(const std::vector<PromptPartId>& parts)
{
    std::string text;
    for (const PromptPartId part : parts) {
        std::array<char, 17> digits {};
        std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(part.get()));
        text += (text.empty() ? "" : "+") + std::string(digits.data());
    }
    return text;
}

std::string_view sectionName(StoreSection section)
{
    constexpr std::array<std::string_view, storeSectionCount> names { "configuration", "endpoints", "members" };
    return names[static_cast<std::size_t>(section)];
}

}
