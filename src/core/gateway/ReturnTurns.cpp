#include "core/gateway/ReturnTurns.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Starts from which the interval is measured, and for how long they count. */
    constexpr std::size_t measuredStarts = 16;
    constexpr std::size_t minMeasuredStarts = 4;
    constexpr Milliseconds measuredTime(2000);
    /** Room may be found long before all callers that were turned away would have had their turn. */
    constexpr Milliseconds longestQueue(5000);
    constexpr std::size_t maxTurns = 1024;
    /** Time for which a turn that was not taken is remembered. */
    constexpr Milliseconds turnLifetime(5000);
    /** Callers' clocks and links differ by this much. */
    constexpr Milliseconds turnTolerance(50);

}

void ReturnTurns::recordStart(const ServiceId& service, Instant now)
{
    auto& starts = this->services[service].starts;
    starts.push_back(now);
    if (starts.size() > measuredStarts)
        starts.pop_front();
}

std::optional<Duration> ReturnTurns::measuredInterval(const ServiceId& service, Instant now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return std::nullopt;
    const auto& starts = found->second.starts;
    const auto first
        = std::find_if(starts.begin(), starts.end(), [&](Instant start) { return now - start <= measuredTime; });
    const auto count = static_cast<std::size_t>(starts.end() - first);
    if (count < minMeasuredStarts)
        return std::nullopt;
    return (now - *first) / static_cast<Duration::rep>(count);
}

Milliseconds ReturnTurns::turnAway(const ServiceId& name, Fingerprint request, const ReturnBounds& bounds, Instant now)
{
    Service& service = this->services[name];
    const Instant earliest = now + bounds.earliest;
    const Key key { name, request };
    const auto known = this->turns.find(key);
    if (known != this->turns.end() && known->second >= earliest)
        return std::chrono::ceil<Milliseconds>(known->second - now);
    const Milliseconds longest = std::max(bounds.earliest, std::min(bounds.longest, longestQueue));
    service.lastTurn = std::clamp(service.lastTurn + bounds.interval, earliest, now + longest);
    this->remember(key, service.lastTurn);
    return std::chrono::ceil<Milliseconds>(service.lastTurn - now);
}

void ReturnTurns::remember(const Key& key, Instant turn)
{
    if (const auto known = this->turns.find(key); known != this->turns.end())
        this->byTime.erase({ known->second, key });
    this->turns[key] = turn;
    this->byTime.emplace(turn, key);
    if (this->turns.size() <= maxTurns)
        return;
    this->turns.erase(this->byTime.begin()->second);
    this->byTime.erase(this->byTime.begin());
}

bool ReturnTurns::takeTurn(const ServiceId& service, Fingerprint request, Instant now)
{
    const Key key { service, request };
    const auto known = this->turns.find(key);
    if (known == this->turns.end() || now + turnTolerance < known->second)
        return false;
    this->byTime.erase({ known->second, key });
    this->turns.erase(known);
    return true;
}

void ReturnTurns::expire(Instant now)
{
    while (!this->byTime.empty() && this->byTime.begin()->first + turnLifetime <= now) {
        this->turns.erase(this->byTime.begin()->second);
        this->byTime.erase(this->byTime.begin());
    }
}

}
