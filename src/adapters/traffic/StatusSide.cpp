#include "adapters/traffic/StatusSide.h"

#include "adapters/traffic/HttpHeads.h"
#include "adapters/traffic/OwnAnswers.h"

namespace teaselfold {

namespace {

    constexpr std::size_t maximumHeadBytes = 8192;
    constexpr std::string_view metricsPath = "/metrics";
    constexpr std::uint16_t okay = 200;
    constexpr std::uint16_t notFound = 404;
    constexpr std::uint16_t unavailable = 503;

}

void StatusSide::received(ConnectionId connection, std::string_view bytes)
{
    std::string& waiting = this->inbound[connection];
    waiting.append(bytes);
    const auto read = parseRequestHead(waiting, maximumHeadBytes);
    if (std::holds_alternative<HeadIncomplete>(read))
        return;
    OwnAnswer answer = pageAnswer(notFound, "not found\n");
    if (const auto* parsed = std::get_if<ParsedHead<RequestHead>>(&read)) {
        const bool ready = this->pages.isReady();
        if (this->context.codec.isReadinessProbe(parsed->head))
            answer = pageAnswer(ready ? okay : unavailable, ready ? "ready\n" : "not ready\n");
        else if (parsed->head.target == metricsPath)
            answer = pageAnswer(okay, this->pages.metrics());
    }
    waiting.clear();
    this->context.loop.send(connection, answer.bytes);
    this->context.loop.finish(connection);
}

}
