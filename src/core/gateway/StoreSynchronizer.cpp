#include "core/gateway/StoreSynchronizer.h"

#include "core/gateway/GatewayLog.h"

#include <algorithm>

namespace teaselfold {

namespace {

    constexpr std::array allSections { StoreSection::Configuration, StoreSection::Endpoints, StoreSection::Members };

    /** How a section is read and announced. */
    struct SectionSchedule {
        /** Longest time for which the store holds a call. The response also confirms that the data is current. */
        Milliseconds longPollTimeout;
        /** Minimum time between the starts of two reads; reads rows that are written together in one call. */
        Milliseconds readInterval;
        /** Interval at which the last announcement is repeated, because datagrams may be lost. */
        Milliseconds announcementInterval;
    };

    const SectionSchedule& scheduleOf(StoreSection section)
    {
        static constexpr std::array<SectionSchedule, storeSectionCount> schedules {
            SectionSchedule { Milliseconds(1000), Milliseconds(150), Milliseconds(250) },
            SectionSchedule { Milliseconds(1000), Milliseconds(200), Milliseconds(250) },
            // Every gateway reads a change of the members itself, and no decision needs it at once.
            SectionSchedule { Milliseconds(10000), Milliseconds(3000), Milliseconds(2000) },
        };
        return schedules[static_cast<std::size_t>(section)];
    }

    /** Tolerates the loss of one announcement, and the time of the read before it. */
    constexpr Milliseconds announcementTolerance(300);
    /** Difference between the takeover delays of gateways with adjacent ranks; longer than a read takes. */
    constexpr Milliseconds takeoverStep(100);
    /** Delay after a first failed read, multiplied for gateways with a higher rank. */
    constexpr Milliseconds retryDelay(150);
    constexpr Milliseconds::rep retryFactorPerRank = 2;
    /** Longest delay of the preferred reader, whose first successful read tells the others that the store is back. */
    constexpr Milliseconds maxReaderRetryDelay(300);
    constexpr Milliseconds maxRetryDelay(2400);
    /** Gateways with a higher rank than this behave like this one, which bounds the delay of a takeover. */
    constexpr std::size_t maxDistinctRank = 3;

    Milliseconds::rep boundedRank(std::size_t rank)
    {
        return static_cast<Milliseconds::rep>(std::min(rank, maxDistinctRank));
    }

    /** @param previous the delay after the previous failed read; zero after a successful one. */
    Milliseconds nextRetryDelay(Milliseconds previous, std::size_t rank)
    {
        const Milliseconds first = retryDelay * (1 + retryFactorPerRank * boundedRank(rank));
        return std::clamp(previous * 2, first, rank == 0 ? maxReaderRetryDelay : maxRetryDelay);
    }

}

Milliseconds StoreSynchronizer::takeoverDelay(StoreSection section) const
{
    const std::size_t rank = readerRank(this->self, section, this->peers.otherMembers());
    return scheduleOf(section).longPollTimeout + announcementTolerance + takeoverStep * boundedRank(rank);
}

void StoreSynchronizer::endpointsChanged(EndpointsChanged changes)
{
    if (changes.empty())
        return;
    SectionState& state = this->stateOf(StoreSection::Endpoints);
    state.changedInRead = true;
    state.changesInRead = std::move(changes);
}

void StoreSynchronizer::readSucceeded(const StoreReadSucceeded& event, Instant now, GatewayActions& actions)
{
    SectionState& state = this->stateOf(event.section);
    Instant asOf = event.readStartedAt;
    if (event.storeTime) {
        this->storeClock.observe(event.readStartedAt, *event.storeTime, now);
        asOf = std::max(asOf, this->storeClock.toLocal(*event.storeTime, now).value_or(asOf));
        state.asOf = std::max(state.asOf, *event.storeTime);
    }
    this->freshness.recordReading(event.section, asOf, now);
    state.isReading = false;
    state.lastReadFailed = false;
    state.retryDelay = Milliseconds(0);
    if (state.changedInRead) {
        // A snapshot does not tell when the section changed; it may have been as late as the snapshot itself.
        state.previousChange = event.isSnapshot ? event.version : state.lastChange;
        state.lastChange = event.version;
        state.lastChanges.reset();
        if (event.section == StoreSection::Endpoints && !event.isSnapshot)
            state.lastChanges = std::move(state.changesInRead);
        state.nextAnnouncementAt = now;
    }
    state.changedInRead = false;
    state.changesInRead = {};
    state.completeUpTo = std::max(state.completeUpTo.value_or(StoreVersion()), event.version);
    // A read that began after an announcement contains whatever was announced.
    if (event.readStartedAt >= state.announcedAt)
        state.announcedChange = std::min(state.announcedChange, *state.completeUpTo);
    state.nextReadAt = std::max(now, state.readStartedAt + scheduleOf(event.section).readInterval);
    this->announce(event.section, now, actions);
    this->startDueReads(now, actions);
}

void StoreSynchronizer::readFailed(const StoreReadFailed& event, Instant now, GatewayActions& actions)
{
    SectionState& state = this->stateOf(event.section);
    state.isReading = false;
    state.lastReadFailed = true;
    state.changedInRead = false;
    state.changesInRead = {};
    const std::size_t rank = readerRank(this->self, event.section, this->peers.otherMembers());
    state.retryDelay = nextRetryDelay(state.retryDelay, rank);
    state.nextReadAt = now + state.retryDelay;
    this->startDueReads(now, actions);
}

void StoreSynchronizer::follow(const StoreReading& reading, Instant asOf, Instant now)
{
    SectionState& state = this->stateOf(reading.section);
    const bool isBefore = isRankedBefore(reading.reader, this->self.instance, reading.section);
    // A gateway that cannot read the store relies on any other one that can.
    if (!isBefore && !state.lastReadFailed)
        return;
    state.followsUntil = std::max(state.followsUntil, std::min(asOf, now) + this->takeoverDelay(reading.section));
}

std::optional<EndpointsChanged> StoreSynchronizer::readingReceived(
    const StoreReading& reading, Instant now, GatewayActions& actions)
{
    SectionState& state = this->stateOf(reading.section);
    const auto asOf = this->storeClock.toLocal(reading.asOf, now);
    if (reading.reader == this->self.instance || !asOf || !state.completeUpTo)
        return std::nullopt;
    std::optional<EndpointsChanged> changes;
    // The response of a read in progress may be older than the announcement, so it must not be applied after it.
    const bool appliesChanges = reading.changes && !state.isReading && *state.completeUpTo >= reading.previousChange
        && *state.completeUpTo < reading.lastChange;
    if (appliesChanges) {
        changes = reading.changes;
        state.previousChange = reading.previousChange;
        state.lastChanges = reading.changes;
    }
    if (appliesChanges || *state.completeUpTo >= reading.lastChange) {
        state.lastChange = std::max(state.lastChange, reading.lastChange);
        state.completeUpTo = std::max(*state.completeUpTo, reading.completeUpTo);
        state.asOf = std::max(state.asOf, reading.asOf);
        this->freshness.recordReading(reading.section, *asOf, now);
    } else if (reading.lastChange > state.announcedChange) {
        state.announcedChange = reading.lastChange;
        state.announcedAt = now;
    }
    this->follow(reading, *asOf, now);
    this->startDueReads(now, actions);
    return changes;
}

void StoreSynchronizer::startRead(StoreSection section, Instant now, GatewayActions& actions)
{
    SectionState& state = this->stateOf(section);
    const bool takesOver = state.followsUntil > state.readStartedAt;
    state.isReading = true;
    state.readStartedAt = now;
    // Only a read that finds nothing to catch up with may wait for changes. After a failure, and when this gateway
    // takes over from a silent one, it probes the store.
    const bool mayWait = !isBehind(state) && !state.lastReadFailed && !takesOver;
    actions.emplace_back(
        ReadStore { section, state.completeUpTo, mayWait ? scheduleOf(section).longPollTimeout : Milliseconds(0) });
}

void StoreSynchronizer::startDueReads(Instant now, GatewayActions& actions)
{
    for (const StoreSection section : allSections) {
        const SectionState& state = this->stateOf(section);
        const bool isNeeded = isBehind(state) || !isFollowing(state, now);
        if (isNeeded && !state.isReading && now >= state.nextReadAt)
            this->startRead(section, now, actions);
    }
}

void StoreSynchronizer::announce(StoreSection section, Instant now, GatewayActions& actions)
{
    SectionState& state = this->stateOf(section);
    auto receivers = this->peers.addressesInZone(this->self.zone);
    if (isFollowing(state, now) || receivers.empty() || isBehind(state))
        return;
    state.nextAnnouncementAt = now + scheduleOf(section).announcementInterval;
    actions.emplace_back(SendReading { { this->self.instance, section, state.previousChange, state.lastChange,
                                           *state.completeUpTo, state.asOf, state.lastChanges },
        std::move(receivers) });
}

void StoreSynchronizer::logRole(StoreSection section, Instant now, GatewayActions& actions)
{
    SectionState& state = this->stateOf(section);
    const bool following = isFollowing(state, now);
    if (following == state.loggedAsFollowing)
        return;
    state.loggedAsFollowing = following;
    const auto age = this->freshness.age(section, now);
    actions.emplace_back(LogEvent { "store_role",
        { { "part", std::string(Internal::sectionName(section)) }, { "role", following ? "follows" : "reads" },
            { "known_since_ms", age ? Internal::millisecondsText(*age) : std::string("never") } } });
}

void StoreSynchronizer::tick(Instant now, GatewayActions& actions)
{
    this->startDueReads(now, actions);
    for (const StoreSection section : allSections) {
        this->logRole(section, now, actions);
        if (this->stateOf(section).nextAnnouncementAt <= now)
            this->announce(section, now, actions);
    }
}

}
