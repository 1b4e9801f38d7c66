#pragma once

#include "core/gateway/PeerLoadTable.h"
#include "core/gateway/ReaderRank.h"
#include "core/gateway/StoreClockEstimate.h"
#include "core/gateway/StoreFreshness.h"
#include "ports/GatewayMessages.h"

#include <array>
#include <optional>

namespace teaselfold {

/**
 * Decides which gateways read the store, and keeps the others up to date. The gateways of a zone are ranked for each
 * section. The first one reads it and announces its state to the others, which read only what an announcement does not
 * contain. A gateway that hears no recent announcement from a gateway before it reads the section itself, so several
 * gateways may read it at once; that is harmless, since any reading is correct as of its time.
 */
class StoreSynchronizer {
public:
    StoreSynchronizer(const GatewayIdentity& self, const PeerLoadTable& peers, StoreFreshness& freshness)
        : self(self)
        , peers(peers)
        , freshness(freshness)
    {
    }

    /** The read in progress changed the section's content. */
    void contentChanged(StoreSection section) { this->stateOf(section).changedInRead = true; }
    /** The read in progress changed these endpoints. */
    void endpointsChanged(EndpointsChanged changes);
    void readSucceeded(const StoreReadSucceeded& event, Instant now, GatewayActions& actions);
    void readFailed(const StoreReadFailed& event, Instant now, GatewayActions& actions);
    /** Handles an announcement. @return the changes that it contains, if they are to be applied. */
    std::optional<EndpointsChanged> readingReceived(const StoreReading& reading, Instant now, GatewayActions& actions);
    /** Starts the reads that are due, and repeats announcements, which may have been lost. */
    void tick(Instant now, GatewayActions& actions);

private:
    struct SectionState {
        /** All transactions up to this one are known; unset before the first read. */
        std::optional<StoreVersion> completeUpTo;
        StoreVersion previousChange;
        StoreVersion lastChange;
        /** The changes made by `lastChange`; unset if they are unknown. */
        std::optional<EndpointsChanged> lastChanges;
        StoreTime asOf;
        /** Latest change that was announced; it is read when it is not known yet. */
        StoreVersion announcedChange;
        Instant announcedAt;
        bool changedInRead { false };
        EndpointsChanged changesInRead;
        bool isReading { false };
        bool lastReadFailed { false };
        /** Delay after the last failed read; zero after a successful one. */
        Milliseconds retryDelay { 0 };
        Instant readStartedAt;
        Instant nextReadAt;
        /** Until then, announcements of other gateways make own reads needless. */
        Instant followsUntil;
        Instant nextAnnouncementAt;
        /** The role that was last logged. */
        bool loggedAsFollowing { false };
    };

    SectionState& stateOf(StoreSection section) { return this->sections[static_cast<std::size_t>(section)]; }
    static bool isBehind(const SectionState& state)
    {
        return !state.completeUpTo || *state.completeUpTo < state.announcedChange;
    }
    /** @return true if this gateway relies on the announcements of another one. */
    static bool isFollowing(const SectionState& state, Instant now) { return now < state.followsUntil; }
    /** @return the time after the section's last known state at which this gateway reads it itself. */
    Milliseconds takeoverDelay(StoreSection section) const;
    /** Extends the time for which this gateway follows, if the announcing one is before it in rank. */
    void follow(const StoreReading& reading, Instant asOf, Instant now);
    void startRead(StoreSection section, Instant now, GatewayActions& actions);
    void startDueReads(Instant now, GatewayActions& actions);
    void announce(StoreSection section, Instant now, GatewayActions& actions);
    /** Logs when this gateway begins to read a section itself, or to rely on another one. */
    void logRole(StoreSection section, Instant now, GatewayActions& actions);

    GatewayIdentity self;
    const PeerLoadTable& peers;
    StoreFreshness& freshness;
    StoreClockEstimate storeClock;
    std::array<SectionState, storeSectionCount> sections;
};

}
