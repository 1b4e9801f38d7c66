#include "core/entry/Quarantine.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <vector>

namespace teaselfold {

namespace {

    /** Time for which a change is repeated in every message, because datagrams may be lost. */
    constexpr Milliseconds announcementTime(3000);

    Milliseconds timeLeft(Instant expiresAt, Instant now) { return std::chrono::ceil<Milliseconds>(expiresAt - now); }

}

Quarantine::Quarantine(const RouterLimits& limits)
    : limits(limits)
{
}

void Quarantine::recordDeath(Fingerprint fingerprint, const EndpointId& endpoint, Instant now)
{
    Suspect& suspect = this->suspects[fingerprint];
    const bool sameDeath
        = suspect.deaths > 0 && suspect.lastEndpoint == endpoint && now - suspect.lastDeath < this->limits.deathWindow;
    if (sameDeath)
        return;
    suspect.deaths += 1;
    suspect.expiresAt = now + this->limits.quarantineTime;
    suspect.lastEndpoint = endpoint;
    suspect.lastDeath = now;
    suspect.isOwn = true;
}

bool Quarantine::clear(Fingerprint fingerprint) { return this->suspects.erase(fingerprint) > 0; }

bool Quarantine::recordSurvival(Fingerprint fingerprint, Instant now)
{
    const bool wasSuspect = this->clear(fingerprint);
    if (wasSuspect)
        this->survivals[fingerprint] = now;
    return wasSuspect;
}

bool Quarantine::merge(const EndpointId& source, const QuarantineDelivery& delivery, Instant now)
{
    bool changed = false;
    for (const auto& reported : delivery.suspects) {
        if (reported.deaths == 0) {
            changed = this->clear(reported.fingerprint) || changed;
            continue;
        }
        if (this->survivals.contains(reported.fingerprint))
            continue;
        Suspect& suspect = this->suspects[reported.fingerprint];
        if (reported.deaths <= suspect.deaths)
            continue;
        suspect.deaths = reported.deaths;
        suspect.expiresAt = now + std::min(reported.remaining, this->limits.quarantineTime);
        suspect.lastEndpoint = source;
        suspect.lastDeath = now;
        suspect.isOwn = false;
        changed = true;
    }
    return changed;
}

bool Quarantine::isSuspect(Fingerprint fingerprint, Instant now) const
{
    const auto found = this->suspects.find(fingerprint);
    return found != this->suspects.end() && found->second.expiresAt > now;
}

Milliseconds Quarantine::remainingQuarantine(Fingerprint fingerprint, Instant now) const
{
    if (!this->isSuspect(fingerprint, now))
        return Milliseconds(0);
    const Suspect& suspect = this->suspects.at(fingerprint);
    return suspect.deaths < this->limits.deathLimit ? Milliseconds(0) : timeLeft(suspect.expiresAt, now);
}

void Quarantine::expire(Instant now)
{
    std::erase_if(this->suspects, [&](const auto& item) { return item.second.expiresAt <= now; });
    std::erase_if(this->survivals, [&](const auto& item) { return now - item.second > announcementTime; });
}

QuarantineDelivery Quarantine::delivery(Instant now) const
{
    QuarantineDelivery delivery;
    for (const auto& [fingerprint, suspect] : this->suspects)
        delivery.suspects.push_back({ fingerprint, suspect.deaths, timeLeft(suspect.expiresAt, now) });
    std::ranges::sort(delivery.suspects, {}, &QuarantineDelivery::Suspect::fingerprint);
    return delivery;
}

QuarantineDelivery Quarantine::recentDelivery(Instant now, std::size_t limit) const
{
    struct Candidate {
        bool isRecent;
        Instant changedAt;
        QuarantineDelivery::Suspect suspect;
    };
    std::vector<Candidate> candidates;
    for (const auto& [fingerprint, survivedAt] : this->survivals)
        candidates.push_back({ true, survivedAt, { fingerprint, 0, Milliseconds(0) } });
    for (const auto& [fingerprint, suspect] : this->suspects) {
        const bool isRecent = suspect.isOwn && now - suspect.lastDeath <= announcementTime;
        if (isRecent || suspect.deaths >= this->limits.deathLimit)
            candidates.push_back(
                { isRecent, suspect.lastDeath, { fingerprint, suspect.deaths, timeLeft(suspect.expiresAt, now) } });
    }
    std::ranges::sort(candidates, std::greater<> {}, [](const Candidate& candidate) {
        return std::tuple(candidate.isRecent, candidate.changedAt, candidate.suspect.fingerprint.get());
    });
    QuarantineDelivery delivery;
    for (const Candidate& candidate : candidates) {
        if (delivery.suspects.size() < limit)
            delivery.suspects.push_back(candidate.suspect);
    }
    return delivery;
}

}
