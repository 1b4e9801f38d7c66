#include "adapters/traffic/StatusConnections.h"

#include "adapters/net/HttpHeads.h"
#include "adapters/traffic/LocalResponses.h"

namespace teaselfold {

namespace {

    constexpr std::size_t maxHeadBytes = 8192;
    constexpr Seconds requestTimeout(5);
    /** Limit on clients at once, so that they leave descriptors and memory to callers. */
    constexpr std::size_t maxClients = 32;
    constexpr std::string_view metricsPath = "/metrics";
    constexpr std::uint16_t statusOk = 200;
    constexpr std::uint16_t statusNotFound = 404;
    constexpr std::uint16_t statusUnavailable = 503;

}

void StatusConnections::connected(ConnectionId connection)
{
    if (this->clients.size() >= maxClients) {
        // Ids grow, so that the first client is the oldest.
        const ConnectionId oldest = this->clients.begin()->first;
        this->clients.erase(oldest);
        this->context.loop.close(oldest);
    }
    this->clients[connection].connectedAt = this->context.now;
}

void StatusConnections::received(ConnectionId connection, std::string_view bytes)
{
    std::string& buffered = this->clients[connection].inbound;
    buffered.append(bytes);
    const auto read = parseRequestHead(buffered, maxHeadBytes);
    if (std::holds_alternative<HeadIncomplete>(read))
        return;
    LocalResponse response = plainTextResponse(statusNotFound, "not found\n");
    if (const auto* parsed = std::get_if<ParsedHead<RequestHead>>(&read)) {
        const bool ready = this->pages.isReady();
        if (this->context.codec.isReadinessProbe(parsed->head))
            response = plainTextResponse(ready ? statusOk : statusUnavailable, ready ? "ready\n" : "not ready\n");
        else if (parsed->head.target == metricsPath)
            response = plainTextResponse(statusOk, this->pages.metrics());
    }
    buffered.clear();
    this->context.loop.send(connection, response.bytes);
    this->context.loop.closeGracefully(connection);
}

void StatusConnections::tick()
{
    std::vector<ConnectionId> expired;
    for (const auto& [connection, client] : this->clients) {
        if (this->context.now - client.connectedAt > requestTimeout)
            expired.push_back(connection);
    }
    for (const ConnectionId connection : expired) {
        this->clients.erase(connection);
        this->context.loop.close(connection);
    }
}

}
