#include "core/gateway/GatewayLog.h"

namespace teaselfold::Internal {

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<Milliseconds>(duration).count());
}

LogEvent requestLine(std::string name, const ActiveRequest& active, Instant now)
{
    LogEvent line { std::move(name), {} };
    line.fields.push_back({ "request", active.request.callerId });
    line.fields.push_back({ "route", active.route->name });
    line.fields.push_back({ "version", std::to_string(active.configuration->version) });
    line.fields.push_back({ "age_ms", millisecondsText(now - active.arrivedAt) });
    return line;
}

}
