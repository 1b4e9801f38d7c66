#include "core/gateway/UnframedEnds.h"

namespace teaselfold {

namespace {

    /** Time in which a crashed endpoint refuses a connection of some gateway, and the others learn of it. */
    constexpr Milliseconds refusalTime(3500);
    /** Time in which a crashed endpoint registers again, or one that goes on answers. */
    constexpr Milliseconds memoryOfEnds(10000);
    constexpr std::size_t maxEnds = 256;

}

void UnframedEnds::add(UnframedEnd end)
{
    if (this->ends.size() >= maxEnds)
        this->ends.erase(this->ends.begin());
    this->ends.push_back(std::move(end));
}

void UnframedEnds::recordAnswer(const EndpointId& endpoint)
{
    for (UnframedEnd& end : this->ends)
        end.hasAnswered = end.hasAnswered || end.endpoint == endpoint;
}

UnframedEnds::Verdicts UnframedEnds::weigh(
    const std::function<SeenSince(const UnframedEnd& end)>& seenSince, Instant now)
{
    Verdicts verdicts;
    std::erase_if(this->ends, [&](UnframedEnd& end) {
        const SeenSince seen = seenSince(end);
        const Duration age = now - end.at;
        const bool crashed = seen == SeenSince::Crash;
        const bool survived = seen == SeenSince::SameIncarnation && end.hasAnswered && age >= refusalTime;
        if (crashed || survived)
            (crashed ? verdicts.crashed : verdicts.survived).push_back(std::move(end));
        return crashed || survived || age >= memoryOfEnds;
    });
    return verdicts;
}

}
