#include "adapters/metrics/LinkTrafficGauges.h"

namespace teaselfold {

std::vector<Gauge> LinkTrafficGauges::gauges() const
{
    const LinkTraffic traffic = this->readTraffic();
    return { { "link_sent_bytes", {}, static_cast<double>(traffic.bytesSent) },
        { "link_received_bytes", {}, static_cast<double>(traffic.bytesReceived) },
        { "link_connections", {}, static_cast<double>(traffic.connections) } };
}

}
