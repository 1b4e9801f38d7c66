#pragma once

#include "core/agent/AgentLimits.h"
#include "core/common/RecentNotes.h"
#include "core/common/ServiceOrders.h"
#include "ports/AgentPorts.h"

#include <map>
#include <optional>
#include <vector>

namespace teaselfold {

/**
 * The control-plane state of an agent: fleet configuration, service orders, quarantine list, linked entries and the
 * agent's own lifecycle. Handles the link messages that replicate this state between entries and agents. Used by the
 * agents of model engines and of plain services.
 */
class AgentControlState {
public:
    AgentControlState(EndpointId endpoint, ZoneId zone, AgentLimits limits);

    /**
     * Records the time of an event. Must be called before each event is handled.
     * @return true when the gap since the previous event shows that the process was paused.
     */
    bool detectPause(Instant now);

    /** @return why new work is refused; nothing when it is accepted. */
    std::optional<ErrorCode> refusalReason() const;

    /** @return whether work with this content is quarantined at the given time. */
    bool isQuarantined(Fingerprint fingerprint, Instant now) const;

    /** Records that the platform will soon reclaim this instance. */
    void markLeaving() { this->leaving = true; }
    /** Records that a planned stop began. */
    void markStopping() { this->stopping = true; }
    /** Records that a newer agent manages this endpoint. */
    void markSuperseded() { this->superseded = true; }
    bool isStopping() const { return this->stopping; }
    bool isSuperseded() const { return this->superseded; }
    /** @return whether queued work must not start either: after a pause, or once a newer agent manages the endpoint. */
    bool areStartsBlocked() const { return this->pausedUntil || this->superseded; }
    /** @return whether new work is refused; load reports then show the endpoint as leaving. */
    bool refusesWork() const;

    const Fleet& fleet() const { return this->configuration; }
    /** @return this endpoint's record; null when the fleet configuration does not list it. */
    const Endpoint* ownEndpoint() const;
    /** @return the service of this endpoint; null when the fleet configuration does not list it. */
    const Service* ownService() const;
    /** @return the team's weight; 1 for a team that the fleet configuration does not list. */
    std::uint32_t teamWeight(const TeamId& team) const;

    void onEntryLinked(const EntryId& entry);
    void onEntryUnlinked(const EntryId& entry);
    bool isLinked(const EntryId& entry) const { return this->linkedEntries.contains(entry); }

    /** Each overload applies a message that an entry sent and appends the messages to send in response. */
    void apply(const EntryId& entry, const EntryHeartbeat& heartbeat, Instant now, std::vector<AgentAction>& actions);
    void apply(const FleetCopy& copy, std::vector<AgentAction>& actions);
    void apply(const NoteDelivery& delivery, std::vector<AgentAction>& actions);
    void apply(const EntryId& entry, const OrdersDelivery& delivery, std::vector<AgentAction>& actions);
    void apply(
        const EntryId& entry, const QuarantineDelivery& delivery, Instant now, std::vector<AgentAction>& actions);
    void apply(const EntryId& entry, const FleetRequest& request, std::vector<AgentAction>& actions);

    /**
     * @param cold whether the endpoint is cold; a change makes a report due at once.
     * @return whether a load report must be sent now.
     */
    bool isReportDue(bool cold, Instant now) const;

    /**
     * Sends a load report to each linked entry.
     * @param report the load; the release, orders digest and leaving fields are filled in by this function.
     */
    void report(LoadReport report, Instant now, std::vector<AgentAction>& actions);

private:
    /** Record of content that is suspected of crashing endpoints. */
    struct Suspect {
        std::uint32_t deaths { 0 };
        Instant until;
    };

    void installFleet(Fleet fleet, std::vector<AgentAction>& actions);
    void forwardToOthers(const EntryId& except, const AgentMessage& message, std::vector<AgentAction>& actions) const;
    void sendMissedReleases(const EntryId& entry, ReleaseVersion release, std::vector<AgentAction>& actions) const;
    /**
     * Merges one received suspect into the quarantine list; zero deaths remove it.
     * @return whether the change must be forwarded to the other entries.
     */
    bool mergeSuspect(const QuarantineDelivery::Suspect& suspect, Instant now);

    EndpointId endpoint;
    ZoneId zone;
    AgentLimits limits;
    Fleet configuration;
    RecentNotes recentNotes;
    ServiceOrders orders;
    std::map<Fingerprint, Suspect> suspects;
    /** The linked entries, each with the last release it is known to have. */
    std::map<EntryId, ReleaseVersion> linkedEntries;
    std::optional<Instant> lastEventAt;
    /** Set after a pause; heartbeats before this time may be stale and do not end the paused state. */
    std::optional<Instant> pausedUntil;
    std::optional<LoadReport> lastReport;
    std::optional<Instant> nextReportAt;
    bool leaving { false };
    bool stopping { false };
    bool superseded { false };
};

}
