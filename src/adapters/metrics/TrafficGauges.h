#pragma once

#include "adapters/metrics/TelemetryHub.h"
#include "ports/LinkTraffic.h"

#include <functional>

namespace teaselfold {

/** Shows the traffic of a process's links on /metrics. */
class TrafficGauges final : public GaugeSource {
public:
    /** @param read called from the threads that serve HTTP. */
    explicit TrafficGauges(std::function<LinkTraffic()> read)
        : read(std::move(read))
    {
    }

    std::vector<Gauge> gauges() const override;

private:
    std::function<LinkTraffic()> read;
};

}
