#include "adapters/metrics/TrafficGauges.h"

namespace teaselfold {

std::vector<Gauge> TrafficGauges::gauges() const
{
    const LinkTraffic traffic = this->read();
    return { { "link_sent_bytes", {}, static_cast<double>(traffic.bytesSent) },
        { "link_received_bytes", {}, static_cast<double>(traffic.bytesReceived) },
        { "link_connections", {}, static_cast<double>(traffic.connections) } };
}

}
