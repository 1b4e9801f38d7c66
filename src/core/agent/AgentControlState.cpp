#include "core/agent/AgentControlState.h"

#include "core/common/FleetUpdate.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Number of endpoint deaths after which work with the suspected content is refused. */
    constexpr std::uint32_t quarantineThreshold = 2;
    /**
     * A later expiry of a known suspect is forwarded only when it differs by more than this. Otherwise the transmission
     * delay would extend the expiry at each hop, and the suspect would never expire.
     */
    constexpr Seconds minSuspectExtension { 2 };
    constexpr std::size_t maxSuspects = 4096;

    LogEvent releaseEvent(ReleaseVersion version)
    {
        return LogEvent { "release_in_force", { { "version", std::to_string(version.get()) } } };
    }

}

AgentControlState::AgentControlState(EndpointId endpoint, ZoneId zone, AgentLimits limits)
    : endpoint(std::move(endpoint))
    , zone(std::move(zone))
    , limits(limits)
{
}

bool AgentControlState::detectPause(Instant now)
{
    const bool paused = this->lastEventAt && now - *this->lastEventAt > this->limits.pauseGap;
    this->lastEventAt = now;
    if (paused)
        this->pausedUntil = now + this->limits.staleHeartbeatWindow;
    return paused;
}

std::optional<ErrorCode> AgentControlState::refusalReason() const
{
    if (this->stopping)
        return ErrorCode::Stopping;
    if (this->leaving || this->orders.isOutOfService(this->zone) || this->orders.isOutOfService(this->endpoint))
        return ErrorCode::OutOfService;
    if (this->pausedUntil || this->superseded || this->configuration.version == ReleaseVersion())
        return ErrorCode::NotReady;
    if (this->ownService() == nullptr)
        return ErrorCode::OutOfService;
    return std::nullopt;
}

bool AgentControlState::refusesWork() const { return this->refusalReason().has_value(); }

bool AgentControlState::isQuarantined(Fingerprint fingerprint, Instant now) const
{
    const auto found = this->suspects.find(fingerprint);
    return found != this->suspects.end() && found->second.deaths >= quarantineThreshold && now < found->second.until;
}

const Endpoint* AgentControlState::ownEndpoint() const
{
    const auto found = this->configuration.endpoints.find(this->endpoint);
    return found == this->configuration.endpoints.end() ? nullptr : &found->second;
}

const Service* AgentControlState::ownService() const
{
    const Endpoint* own = this->ownEndpoint();
    if (own == nullptr)
        return nullptr;
    const auto found = this->configuration.services.find(own->service);
    return found == this->configuration.services.end() ? nullptr : &found->second;
}

std::uint32_t AgentControlState::teamWeight(const TeamId& team) const
{
    const auto found = this->configuration.teams.find(team);
    return found == this->configuration.teams.end() ? 1 : found->second.weight;
}

void AgentControlState::onEntryLinked(const EntryId& entry)
{
    this->linkedEntries.try_emplace(entry);
    this->nextReportAt.reset();
}

void AgentControlState::onEntryUnlinked(const EntryId& entry) { this->linkedEntries.erase(entry); }

void AgentControlState::apply(
    const EntryId& entry, const EntryHeartbeat& heartbeat, Instant now, std::vector<AgentAction>& actions)
{
    if (this->pausedUntil && now >= *this->pausedUntil) {
        this->pausedUntil.reset();
        this->nextReportAt.reset();
    }
    this->linkedEntries[entry] = heartbeat.release;
    this->sendMissedReleases(entry, heartbeat.release, actions);
    if (heartbeat.ordersDigest != this->orders.digest())
        actions.push_back(ToEntry { entry, OrdersDelivery { this->orders.all() } });
}

void AgentControlState::sendMissedReleases(
    const EntryId& entry, ReleaseVersion release, std::vector<AgentAction>& actions) const
{
    // An entry without a configuration requests it from one agent at a time, so nothing is sent unrequested.
    const bool requestsCopy = release == ReleaseVersion();
    if (requestsCopy || release >= this->configuration.version)
        return;
    const std::vector<NoteDelivery> notes = this->recentNotes.notesAfter(release);
    if (notes.empty())
        actions.push_back(ToEntry { entry, FleetCopy { this->configuration } });
    for (const NoteDelivery& note : notes)
        actions.push_back(ToEntry { entry, note });
}

void AgentControlState::installFleet(Fleet fleet, std::vector<AgentAction>& actions)
{
    this->configuration = std::move(fleet);
    this->nextReportAt.reset();
    actions.push_back(releaseEvent(this->configuration.version));
}

void AgentControlState::apply(const FleetCopy& copy, std::vector<AgentAction>& actions)
{
    if (copy.fleet.version <= this->configuration.version)
        return;
    this->recentNotes.clear();
    this->installFleet(copy.fleet, actions);
}

void AgentControlState::apply(const NoteDelivery& delivery, std::vector<AgentAction>& actions)
{
    const bool next = delivery.version.get() == this->configuration.version.get() + 1;
    if (!next || delivery.note.base != this->configuration.version)
        return;
    this->recentNotes.add(delivery);
    this->installFleet(applyNote(this->configuration, delivery.note), actions);
}

void AgentControlState::forwardToOthers(
    const EntryId& except, const AgentMessage& message, std::vector<AgentAction>& actions) const
{
    for (const auto& [entry, release] : this->linkedEntries) {
        if (entry != except)
            actions.push_back(ToEntry { entry, message });
    }
}

void AgentControlState::apply(const EntryId& entry, const OrdersDelivery& delivery, std::vector<AgentAction>& actions)
{
    OrdersDelivery changed;
    for (const ServiceOrder& order : delivery.orders) {
        if (this->orders.merge(order))
            changed.orders.push_back(order);
    }
    if (changed.orders.empty())
        return;
    this->nextReportAt.reset();
    this->forwardToOthers(entry, changed, actions);
}

bool AgentControlState::mergeSuspect(const QuarantineDelivery::Suspect& suspect, Instant now)
{
    std::erase_if(this->suspects, [&](const auto& known) { return known.second.until <= now; });
    if (suspect.deaths == 0)
        return this->suspects.erase(suspect.fingerprint) > 0;
    const bool isKnown = this->suspects.contains(suspect.fingerprint);
    if (!isKnown && (suspect.remaining <= Milliseconds(0) || this->suspects.size() >= maxSuspects))
        return false;
    Suspect& row = this->suspects[suspect.fingerprint];
    const Instant until = now + suspect.remaining;
    const bool extended = !isKnown || suspect.deaths > row.deaths || until > row.until + minSuspectExtension;
    if (extended) {
        row.deaths = std::max(row.deaths, suspect.deaths);
        row.until = std::max(row.until, until);
    }
    return extended;
}

void AgentControlState::apply(
    const EntryId& entry, const QuarantineDelivery& delivery, Instant now, std::vector<AgentAction>& actions)
{
    QuarantineDelivery changed;
    for (const QuarantineDelivery::Suspect& suspect : delivery.suspects) {
        if (this->mergeSuspect(suspect, now))
            changed.suspects.push_back(suspect);
    }
    if (!changed.suspects.empty())
        this->forwardToOthers(entry, changed, actions);
}

void AgentControlState::apply(const EntryId& entry, const FleetRequest&, std::vector<AgentAction>& actions)
{
    if (this->configuration.version > ReleaseVersion())
        actions.push_back(ToEntry { entry, FleetCopy { this->configuration } });
}

bool AgentControlState::isReportDue(bool cold, Instant now) const
{
    if (!this->nextReportAt || !this->lastReport || now >= *this->nextReportAt)
        return true;
    return this->lastReport->leaving != this->refusesWork() || this->lastReport->cold != cold;
}

void AgentControlState::report(LoadReport report, Instant now, std::vector<AgentAction>& actions)
{
    report.release = this->configuration.version;
    report.ordersDigest = this->orders.digest();
    report.leaving = this->refusesWork();
    if (report.leaving)
        report.room = 0;
    for (const auto& [entry, release] : this->linkedEntries)
        actions.push_back(ToEntry { entry, report });
    this->lastReport = report;
    this->nextReportAt = now + this->limits.reportInterval;
}

}
