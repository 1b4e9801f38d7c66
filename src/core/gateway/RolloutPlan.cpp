#include "core/gateway/RolloutPlan.h"

#include <algorithm>
#include <cmath>

namespace teaselfold {

namespace {

    /** Time within which the first gateway reads an order. */
    constexpr Milliseconds readingDelay(200);
    /** Time before the deadline at which the state is written at the latest; another writer may have to take over. */
    constexpr Milliseconds writingTime(150);
    constexpr Milliseconds earlyWritingTime(300);
    constexpr Milliseconds decisionTime(300);
    /** Time that requests in progress at the previous versions have to end. */
    constexpr Milliseconds drainTime(350);
    /** The same where long streams have to end or to move. */
    constexpr Milliseconds streamDrainTime(3000);
    constexpr int streamDrainDivisor = 4;
    /** Used of the budget; the rest covers requests that other gateways have not told of yet. */
    constexpr double usedFraction = 0.95;
    constexpr double usedHeadroom = 0.7;
    /** Time after which the rate of requests is known. */
    constexpr Milliseconds measuringTime(1000);
    /** Largest part of the requests at a time that goes to a version that is observed. */
    constexpr double maxShare = 0.35;
    /** Probes for each answer without which a version is not called sound: not all are answered. */
    constexpr double probesPerAnswer = 2;
    /** Answers without which a version is not called sound: a part of all requests, within bounds. */
    constexpr double answeredPart = 0.1;
    constexpr double fewestAnswers = 3;
    constexpr double mostAnswers = 20;

    double secondsOf(Milliseconds time) { return std::chrono::duration<double>(time).count(); }

}

Milliseconds RolloutPlan::shiftDue(Milliseconds duration) { return completionDue(duration) - drainTime; }

Milliseconds RolloutPlan::earliestShift(Milliseconds duration)
{
    return std::min(
        shiftDue(duration), completionDue(duration) - std::min(streamDrainTime, duration / streamDrainDivisor));
}

Milliseconds RolloutPlan::completionDue(Milliseconds duration) { return duration - readingDelay - earlyWritingTime; }

Milliseconds RolloutPlan::latestCompletion(Milliseconds duration) { return duration - readingDelay - writingTime; }

Milliseconds RolloutPlan::decisionDue(Milliseconds duration) { return duration - readingDelay - decisionTime; }

double RolloutPlan::requestsPerSecond(const RolloutProgress& progress)
{
    return progress.requests / secondsOf(std::max(progress.elapsed, measuringTime));
}

double RolloutPlan::expectedRequests(const RolloutProgress& progress)
{
    const Milliseconds left = std::max(progress.duration - progress.elapsed, Milliseconds(0));
    return progress.requests + requestsPerSecond(progress) * secondsOf(left);
}

double RolloutPlan::budget(double requests) const
{
    return this->limits.exposureFraction * usedFraction * requests + this->limits.exposureHeadroom * usedHeadroom;
}

double RolloutPlan::probesLeft(const RolloutProgress& progress) const
{
    const double rate = requestsPerSecond(progress);
    const Milliseconds shiftAt = shiftDue(progress.duration);
    const double afterShift = rate * secondsOf(progress.duration - shiftAt);
    const double affordable = this->budget(expectedRequests(progress)) - afterShift;
    const double needed = probesPerAnswer * minAnswers(progress);
    return std::max(affordable, needed) - progress.requestsToTarget;
}

bool RolloutPlan::hasRoomForShift(const RolloutProgress& progress) const
{
    const Milliseconds left = std::max(progress.duration - progress.elapsed, Milliseconds(0));
    return progress.requestsToTarget + requestsPerSecond(progress) * secondsOf(left)
        <= this->budget(expectedRequests(progress));
}

bool RolloutPlan::hasRoomForProbe(const RolloutProgress& progress) const
{
    return progress.requestsToTarget + 1 <= this->budget(progress.requests);
}

double RolloutPlan::minAnswers(const RolloutProgress& progress)
{
    return std::clamp(answeredPart * expectedRequests(progress), fewestAnswers, mostAnswers);
}

double RolloutPlan::shareOfOne(std::size_t endpoints)
{
    return std::min(maxShare, 1 / static_cast<double>(std::max<std::size_t>(endpoints, 1)));
}

std::optional<std::size_t> RolloutPlan::windowIndex(const RolloutProgress& progress, Milliseconds windowTime)
{
    if (progress.elapsed < measuringTime)
        return std::nullopt;
    return static_cast<std::size_t>((progress.elapsed - measuringTime) / windowTime);
}

ProbeWindow RolloutPlan::probeWindow(
    const RolloutProgress& progress, std::size_t endpoints, Milliseconds windowTime) const
{
    const auto index = windowIndex(progress, windowTime);
    const double rate = requestsPerSecond(progress);
    const Milliseconds timeLeft = shiftDue(progress.duration) - progress.elapsed;
    if (endpoints == 0 || !index || rate <= 0 || timeLeft <= Milliseconds(0))
        return {};
    const double left = std::max(this->probesLeft(progress), 0.0);
    const double average = left / (rate * secondsOf(timeLeft));
    const double perEndpoint = 1 / static_cast<double>(endpoints);
    const auto count = std::clamp<std::size_t>(static_cast<std::size_t>(average / perEndpoint), 1, endpoints);
    const double share = std::min(maxShare, std::max(average, static_cast<double>(count) * perEndpoint));
    // Opened where the requests so far would fall behind an even course; in the other windows, the new version gets
    // nothing.
    const Milliseconds windowEnd = measuringTime + windowTime * static_cast<Milliseconds::rep>(*index + 1);
    const double endPart
        = std::min(1.0, secondsOf(windowEnd - measuringTime) / secondsOf(shiftDue(progress.duration) - measuringTime));
    const double inWindow = share * rate * secondsOf(std::min(windowTime, timeLeft));
    const bool isOpen = progress.requestsToTarget + inWindow / 2 <= (progress.requestsToTarget + left) * endPart;
    return { isOpen ? share : 0, *index * count % endpoints, count };
}

}
