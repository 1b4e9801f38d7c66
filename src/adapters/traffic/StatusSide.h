#pragma once

#include "adapters/traffic/TrafficContext.h"

#include <functional>
#include <map>
#include <string>

namespace teaselfold {

/** What a gateway tells probes and collectors. */
struct StatusPages {
    /** @return true when new callers are welcome. */
    std::function<bool()> isReady;
    /** @return all metrics as text. */
    std::function<std::string()> metrics;
};

/** Answers probes and collectors. One answer a connection. */
class StatusSide {
public:
    StatusSide(TrafficContext& context, StatusPages pages)
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
