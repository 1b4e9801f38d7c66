#pragma once

#include "adapters/traffic/TrafficContext.h"

#include <functional>
#include <map>
#include <string>

namespace teaselfold {

/** Content of the status pages. */
struct StatusPages {
    /** @return true when the gateway accepts new callers. */
    std::function<bool()> isReady;
    /** @return all metrics in the Prometheus text format. */
    std::function<std::string()> metrics;
};

/** Serves readiness probes and metric scrapers. Each connection gets one response. */
class StatusConnections {
public:
    StatusConnections(TrafficContext& context, StatusPages pages)
        : context(context)
        , pages(std::move(pages))
    {
    }

    /** Adds a client; closes the oldest one if there are too many. */
    void connected(ConnectionId connection);
    void received(ConnectionId connection, std::string_view bytes);
    void closed(ConnectionId connection) { this->clients.erase(connection); }
    bool owns(ConnectionId connection) const { return this->clients.contains(connection); }
    /** Closes connections that did not send a request in time. */
    void tick();

private:
    struct Client {
        std::string inbound;
        Instant connectedAt;
    };

    TrafficContext& context;
    StatusPages pages;
    std::map<ConnectionId, Client> clients;
};

}
