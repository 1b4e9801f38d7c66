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

    void connected(ConnectionId connection) { this->inbound[connection]; }
    void received(ConnectionId connection, std::string_view bytes);
    void closed(ConnectionId connection) { this->inbound.erase(connection); }
    bool owns(ConnectionId connection) const { return this->inbound.contains(connection); }

private:
    TrafficContext& context;
    StatusPages pages;
    std::map<ConnectionId, std::string> inbound;
};

}
