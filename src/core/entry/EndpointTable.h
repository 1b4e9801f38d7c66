#pragma once

#include "ports/EntryPorts.h"

#include <map>
#include <optional>
#include <vector>

namespace teaselfold {

enum class LinkState : std::uint8_t {
    Closed,
    Opening,
    Up,
};

/** The state of one endpoint as known to this entry: its link, its last load report and the load added since. */
struct EndpointState {
    Endpoint endpoint;
    LinkState link { LinkState::Closed };
    /** True when the endpoint is in this entry's subset; other links only serve requests already there. */
    bool inSubset { false };
    /** True while the configuration contains the endpoint. */
    bool inFleet { true };
    /** True when the platform's instance list marks the instance as leaving. */
    bool listedLeaving { false };
    Incarnation incarnation;
    /** The last load report on the current connection, if any. */
    std::optional<LoadReport> report;
    /** The last configuration version sent on the current connection, and when it was sent. */
    ReleaseVersion deliveredVersion;
    Instant deliveredAt;
    /** Attempts accepted since the last report, less those that ended. */
    std::uint32_t acceptedSinceReport { 0 };
    /** Submissions that the agent has not answered yet. */
    std::uint32_t pendingSubmissions { 0 };
    std::optional<Instant> lastContactAt;
    /** When the last connection attempt began or the link last broke. */
    Instant reconnectTimerStart;
    /** True when the peer closed a link and no message has arrived since; a silent link leaves it false. */
    bool closedByPeer { false };
    /** When contact was lost; after `RouterLimits::lossTimeout` the work at the endpoint counts as lost. */
    std::optional<Instant> contactLostAt;
};

/** The endpoints known to this entry, with an estimate of their load. */
class EndpointTable {
public:
    /** @return the endpoint's state, or nullptr when the endpoint is unknown. */
    EndpointState* find(const EndpointId& endpoint);
    const EndpointState* find(const EndpointId& endpoint) const;
    std::map<EndpointId, EndpointState>& all() { return this->states; }

    /** Adds agents to connect to before a configuration is known. The first configuration determines which are kept. */
    void seed(const std::vector<SeedAgent>& agents);
    /** Applies a newer configuration. Withdrawn endpoints stay known until their links are closed. */
    void update(const Fleet& fleet, const EntryId& self, std::size_t linksPerService);
    /** @return the endpoints of a service in this entry's subset. Valid until the next `update`. */
    const std::vector<const EndpointState*>& subsetFor(const ServiceId& service) const;

    /** Replaces the load estimate with a new report. */
    void applyReport(const EndpointId& endpoint, const LoadReport& report);
    /** Counts a submission that the agent has not answered yet. */
    void recordSubmission(const EndpointId& endpoint);
    /** Counts the answer to a submission. @param accepted true to add it to the load until the next report. */
    void recordSubmissionAnswer(const EndpointId& endpoint, bool accepted);
    /** Removes an accepted attempt that ended from the load added since the last report. */
    void recordAttemptEnd(const EndpointId& endpoint);
    /** Discards the state that is only valid on one connection: the load report and the version sent. */
    void resetConnectionState(const EndpointId& endpoint);

private:
    std::map<EndpointId, EndpointState> states;
    std::map<ServiceId, std::vector<const EndpointState*>> subsets;
};

/** @return the number of submissions that the last report cannot include. */
std::uint32_t sentSinceReport(const EndpointState& endpointState);

/** @return the number of generations that the endpoint can admit now: that of its last report less those sent since. */
std::uint32_t freeCapacity(const EndpointState& endpointState);

/** @return the number of generations running or queued at the endpoint, including those sent since the last report. */
std::uint32_t outstanding(const EndpointState& endpointState);

}
