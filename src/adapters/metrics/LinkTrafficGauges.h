#pragma once

#include "adapters/metrics/TelemetryHub.h"
#include "ports/LinkTraffic.h"

#include <functional>

namespace teaselfold {

/** Exposes the traffic of a process's links as gauges. */
class LinkTrafficGauges final : public GaugeSource {
public:
    /** @param readTraffic returns the current traffic; called from the threads that serve HTTP. */
    explicit LinkTrafficGauges(std::function<LinkTraffic()> readTraffic)
        : readTraffic(std::move(readTraffic))
    {
    }

    std::vector<Gauge> gauges() const override;

private:
    std::function<LinkTraffic()> readTraffic;
};

}
