#include "core/gateway/PauseForecast.h"

#include <cmath>

namespace teaselfold {

namespace {

    /** Factor by which the time between two events grows while the engine reads a prompt. */
    constexpr double readingFactor = 2.1;
    /** Time from one prompt to the next at an engine of a busy service. */
    constexpr Milliseconds promptDistance(1000);

}

double PauseForecast::criticalSlowdown(const EndpointPace& pace) const
{
    const std::chrono::duration<double> interval = pace.usualInterval().value_or(this->averageInterval);
    return std::chrono::duration<double>(this->objective) / (interval * readingFactor);
}

double PauseForecast::riskOfPrompt(const EndpointPace& pace, Instant now) const
{
    if (this->objective <= Milliseconds(0))
        return 0;
    const double critical = this->criticalSlowdown(pace);
    const double statedRisk = pace.lastSlowdown() > critical ? 1 : 0;
    const double usualRisk = this->shares.shareAbove(critical);
    return usualRisk + (statedRisk - usualRisk) * pace.confidence(now);
}

double PauseForecast::riskOfStream(const EndpointPace& pace, Duration streamTime) const
{
    if (this->objective <= Milliseconds(0))
        return 0;
    const double risk = this->shares.shareAbove(this->criticalSlowdown(pace));
    const double prompts = std::chrono::duration<double>(streamTime) / std::chrono::duration<double>(promptDistance);
    return 1 - std::pow(1 - risk, prompts);
}

}
