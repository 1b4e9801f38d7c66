#include "core/agent/AgentKnowledge.h"

#include "core/common/FleetUpdate.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Deaths of endpoints after which a content is refused. */
    constexpr std::uint32_t quarantineDeaths = 2;
    /** A suspect's time must rise by this much to be passed on; the time on the way must not keep it alive. */
    constexpr Seconds suspectSlack { 2 };
    constexpr std::size_t suspectLimit = 4096;

    LogEvent releaseEvent(ReleaseVersion version)
    {
        return LogEvent { "release_in_force", { { "version", std::to_string(version.get()) } } };
    }

}

AgentKnowledge::AgentKnowledge(EndpointId endpoint, ZoneId zone, AdmissionLimits limits)
    : endpoint(std::move(endpoint))
    , zone(std::move(zone))
    , limits(limits)
{
}

bool AgentKnowledge::observeTime(Instant now)
{
    const bool paused = this->lastSeen && now - *this->lastSeen > this->limits.pauseGap;
    this->lastSeen = now;
    if (paused)
        this->pausedUntil = now + this->limits.pauseSettle;
    return paused;
}

std::optional<ErrorCode> AgentKnowledge::refusalReason() const
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

bool AgentKnowledge::takesNoWork() const { return this->refusalReason().has_value(); }

bool AgentKnowledge::isQuarantined(Fingerprint fingerprint, Instant now) const
{
    const auto found = this->suspects.find(fingerprint);
    return found != this->suspects.end() && found->second.deaths >= quarantineDeaths && now < found->second.until;
}

const Endpoint* AgentKnowledge::ownEndpoint() const
{
    const auto found = this->configuration.endpoints.find(this->endpoint);
    return found == this->configuration.endpoints.end() ? nullptr : &found->second;
}

const Service* AgentKnowledge::ownService() const
{
    const Endpoint* own = this->ownEndpoint();
    if (own == nullptr)
        return nullptr;
    const auto found = this->configuration.services.find(own->service);
    return found == this->configuration.services.end() ? nullptr : &found->second;
}

std::uint32_t AgentKnowledge::teamWeight(const TeamId& team) const
{
    const auto found = this->configuration.teams.find(team);
    return found == this->configuration.teams.end() ? 1 : found->second.weight;
}

void AgentKnowledge::linked(const EntryId& entry)
{
    this->entries.try_emplace(entry);
    this->nextReport.reset();
}

void AgentKnowledge::unlinked(const EntryId& entry) { this->entries.erase(entry); }

void AgentKnowledge::take(
    const EntryId& entry, const EntryHeartbeat& heartbeat, Instant now, std::vector<AgentAction>& actions)
{
    if (this->pausedUntil && now >= *this->pausedUntil) {
        this->pausedUntil.reset();
        this->nextReport.reset();
    }
    this->entries[entry] = heartbeat.release;
    this->catchUp(entry, heartbeat.release, actions);
    if (heartbeat.ordersDigest != this->orders.digest())
        actions.push_back(ToEntry { entry, OrdersDelivery { this->orders.all() } });
}

void AgentKnowledge::catchUp(const EntryId& entry, ReleaseVersion release, std::vector<AgentAction>& actions) const
{
    // An entry without a configuration asks one agent at a time for it.
    const bool asks = release == ReleaseVersion();
    if (asks || release >= this->configuration.version)
        return;
    const std::vector<NoteDelivery> notes = this->recentNotes.notesAfter(release);
    if (notes.empty())
        actions.push_back(ToEntry { entry, FleetCopy { this->configuration } });
    for (const NoteDelivery& note : notes)
        actions.push_back(ToEntry { entry, note });
}

void AgentKnowledge::adopt(Fleet fleet, std::vector<AgentAction>& actions)
{
    this->configuration = std::move(fleet);
    this->nextReport.reset();
    actions.push_back(releaseEvent(this->configuration.version));
}

void AgentKnowledge::take(const FleetCopy& copy, std::vector<AgentAction>& actions)
{
    if (copy.fleet.version <= this->configuration.version)
        return;
    this->recentNotes.clear();
    this->adopt(copy.fleet, actions);
}

void AgentKnowledge::take(const NoteDelivery& delivery, std::vector<AgentAction>& actions)
{
    const bool next = delivery.version.get() == this->configuration.version.get() + 1;
    if (!next || delivery.note.base != this->configuration.version)
        return;
    this->recentNotes.add(delivery);
    this->adopt(applyNote(this->configuration, delivery.note), actions);
}

void AgentKnowledge::passOn(const EntryId& except, const AgentMessage& message, std::vector<AgentAction>& actions) const
{
    for (const auto& [entry, release] : this->entries) {
        if (entry != except)
            actions.push_back(ToEntry { entry, message });
    }
}

void AgentKnowledge::take(const EntryId& entry, const OrdersDelivery& delivery, std::vector<AgentAction>& actions)
{
    OrdersDelivery changed;
    for (const ServiceOrder& order : delivery.orders) {
        if (this->orders.merge(order))
            changed.orders.push_back(order);
    }
    if (changed.orders.empty())
        return;
    this->nextReport.reset();
    this->passOn(entry, changed, actions);
}

bool AgentKnowledge::raise(const QuarantineDelivery::Suspect& suspect, Instant now)
{
    std::erase_if(this->suspects, [&](const auto& known) { return known.second.until <= now; });
    if (suspect.deaths == 0)
        return this->suspects.erase(suspect.fingerprint) > 0;
    const bool known = this->suspects.contains(suspect.fingerprint);
    if (!known && (suspect.remaining <= Milliseconds(0) || this->suspects.size() >= suspectLimit))
        return false;
    Suspect& row = this->suspects[suspect.fingerprint];
    const Instant until = now + suspect.remaining;
    const bool rose = !known || suspect.deaths > row.deaths || until > row.until + suspectSlack;
    if (rose) {
        row.deaths = std::max(row.deaths, suspect.deaths);
        row.until = std::max(row.until, until);
    }
    return rose;
}

void AgentKnowledge::take(
    const EntryId& entry, const QuarantineDelivery& delivery, Instant now, std::vector<AgentAction>& actions)
{
    QuarantineDelivery raised;
    for (const QuarantineDelivery::Suspect& suspect : delivery.suspects) {
        if (this->raise(suspect, now))
            raised.suspects.push_back(suspect);
    }
    if (!raised.suspects.empty())
        this->passOn(entry, raised, actions);
}

void AgentKnowledge::take(const EntryId& entry, const FleetRequest&, std::vector<AgentAction>& actions)
{
    if (this->configuration.version > ReleaseVersion())
        actions.push_back(ToEntry { entry, FleetCopy { this->configuration } });
}

bool AgentKnowledge::reportDue(bool cold, Instant now) const
{
    if (!this->nextReport || !this->lastReport || now >= *this->nextReport)
        return true;
    return this->lastReport->leaving != this->takesNoWork() || this->lastReport->cold != cold;
}

void AgentKnowledge::report(LoadReport report, Instant now, std::vector<AgentAction>& actions)
{
    report.release = this->configuration.version;
    report.ordersDigest = this->orders.digest();
    report.leaving = this->takesNoWork();
    if (report.leaving)
        report.room = 0;
    for (const auto& [entry, release] : this->entries)
        actions.push_back(ToEntry { entry, report });
    this->lastReport = report;
    this->nextReport = now + this->limits.reportInterval;
}

}
