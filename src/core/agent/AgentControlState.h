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
 * What an agent knows of configuration, orders, suspects and linked entries, and the part of the link protocol that
 * keeps it equal everywhere. Shared by the agents of model engines and of plain services.
 */
class AgentControlState {
public:
    AgentControlState(EndpointId endpoint, ZoneId zone, AdmissionLimits limits);

    /** Marks the passing of time. Called with each event before it is handled. @return true after a pause. */
    bool detectPause(Instant now);

    /** @return why new work is refused; nothing when it is taken. */
    std::optional<ErrorCode> refusalReason() const;

    /** @return whether work with this content must not run now. */
    bool isQuarantined(Fingerprint fingerprint, Instant now) const;

    /** The platform is about to take the instance. */
    void markLeaving() { this->leaving = true; }
    /** A planned stop began. */
    void markStopping() { this->stopping = true; }
    /** A newer agent gives the orders to this endpoint. */
    void markSuperseded() { this->superseded = true; }
    bool isStopping() const { return this->stopping; }
    bool isSuperseded() const { return this->superseded; }
    /** @return whether queued work must not start either: after a pause, or when a newer agent is there. */
    bool areStartsBlocked() const { return this->pausedUntil || this->superseded; }
    /** @return whether load reports show the endpoint as leaving. */
    bool refusesWork() const;

    const Fleet& fleet() const { return this->configuration; }
    /** @return this endpoint's row; null when the fleet does not know it. */
    const Endpoint* ownEndpoint() const;
    /** @return the service of this endpoint; null when the fleet does not know it. */
    const Service* ownService() const;
    /** @return the team's share; 1 for a team the fleet does not know. */
    std::uint32_t teamWeight(const TeamId& team) const;

    void onEntryLinked(const EntryId& entry);
    void onEntryUnlinked(const EntryId& entry);
    bool isLinked(const EntryId& entry) const { return this->linkedEntries.contains(entry); }

    /** Each takes a message in and appends what must be sent because of it. */
    void take(const EntryId& entry, const EntryHeartbeat& heartbeat, Instant now, std::vector<AgentAction>& actions);
    void take(const FleetCopy& copy, std::vector<AgentAction>& actions);
    void take(const NoteDelivery& delivery, std::vector<AgentAction>& actions);
    void take(const EntryId& entry, const OrdersDelivery& delivery, std::vector<AgentAction>& actions);
    void take(const EntryId& entry, const QuarantineDelivery& delivery, Instant now, std::vector<AgentAction>& actions);
    void take(const EntryId& entry, const FleetRequest& request, std::vector<AgentAction>& actions);

    /** @return whether a report must be sent now. @param cold whether the endpoint is cold. */
    bool isReportDue(bool cold, Instant now) const;

    /**
     * Sends a load report to each entry.
     * @param report the load; the release, digest and leaving fields are filled in here.
     */
    void report(LoadReport report, Instant now, std::vector<AgentAction>& actions);

private:
    struct Suspect {
        std::uint32_t deaths { 0 };
        Instant until;
    };

    void installFleet(Fleet fleet, std::vector<AgentAction>& actions);
    void forwardToOthers(const EntryId& except, const AgentMessage& message, std::vector<AgentAction>& actions) const;
    void sendMissedReleases(const EntryId& entry, ReleaseVersion release, std::vector<AgentAction>& actions) const;
    /** Takes one suspect in; zero deaths clear it. @return whether that is news for the other entries. */
    bool mergeSuspect(const QuarantineDelivery::Suspect& suspect, Instant now);

    EndpointId endpoint;
    ZoneId zone;
    AdmissionLimits limits;
    Fleet configuration;
    RecentNotes recentNotes;
    ServiceOrders orders;
    std::map<Fingerprint, Suspect> suspects;
    /** Linked entries with the release each is known to hold. */
    std::map<EntryId, ReleaseVersion> linkedEntries;
    std::optional<Instant> lastEventAt;
    /** Set after a pause: heartbeats before this time are not trusted. */
    std::optional<Instant> pausedUntil;
    std::optional<LoadReport> lastReport;
    std::optional<Instant> nextReportAt;
    bool leaving { false };
    bool stopping { false };
    bool superseded { false };
};

}
