#pragma once

#include "core/gateway/EndpointPace.h"
#include "core/gateway/SlowdownShares.h"

namespace teaselfold {

/**
 * Forecasts whether the streams of an engine have a pause beyond their objective. An engine reads prompts between the
 * steps of its streams, which then take longer, and the more so while its instance has other work.
 */
class PauseForecast {
public:
    /**
     * @param objective longest pause of a stream that is in time; zero for no forecast.
     * @param averageInterval assumed for engines whose interval is not known.
     */
    PauseForecast(const SlowdownShares& shares, Milliseconds objective, Duration averageInterval)
        : shares(shares)
        , objective(objective)
        , averageInterval(averageInterval)
    {
    }

    /** @return the probability that a running stream has such a pause while the engine reads one more prompt now. */
    double riskOfPrompt(const EndpointPace& pace, Instant now) const;
    /** @return the probability that a stream which lasts for the given time has such a pause at the engine. */
    double riskOfStream(const EndpointPace& pace, Duration streamTime) const;

private:
    /** @return the slowdown from which on a step with a part of a prompt in it takes longer than the objective. */
    double criticalSlowdown(const EndpointPace& pace) const;

    const SlowdownShares& shares;
    Milliseconds objective;
    Duration averageInterval;
};

}
