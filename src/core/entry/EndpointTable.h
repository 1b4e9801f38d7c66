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

/** What this entry knows of one endpoint. */
struct EndpointState {
    Endpoint endpoint;
    LinkState link { LinkState::Closed };
    /** True when the link belongs to this entry's subset; other links serve single streams only. */
    bool inSubset { false };
    /** True while the fleet still has the endpoint. */
    bool inFleet { true };
    /** True when the platform's instance list says that the instance leaves. */
    bool listedLeaving { false };
    Incarnation incarnation;
    /** Nothing until a report came on the present connection. */
    std::optional<LoadReport> report;
    /** The version sent on the present connection that no report confirms yet, and when. */
    ReleaseVersion deliveredVersion;
    Instant deliveredAt;
    std::uint32_t acceptedSinceReport { 0 };
    std::uint32_t pendingSubmissions { 0 };
    std::optional<Instant> lastContactAt;
    Instant reconnectTimerStart;
    /** True when the peer ended a link and no message came since; a silent link leaves it false. */
    bool closedByPeer { false };
    /** When contact ended; the work there is lost a time after this. */
    std::optional<Instant> contactLostAt;
};

/** The endpoints this entry knows, and the estimate of their load. */
class EndpointTable {
public:
    /** @return the endpoint's view, or nullptr. */
    EndpointState* find(const EndpointId& endpoint);
    const EndpointState* find(const EndpointId& endpoint) const;
    std::map<EndpointId, EndpointState>& all() { return this->views; }

    /** Makes agents known before there is a configuration; the first one decides which of them stay. */
    void seed(const std::vector<SeedAgent>& agents);
    /** Takes over the endpoints of a newer configuration; those withdrawn stay known until their links close. */
    void update(const Fleet& fleet, const EntryId& self, std::size_t linksPerService);
    /** @return the endpoints of a service in this entry's subset. Valid until the next `update`. */
    const std::vector<const EndpointState*>& subsetFor(const ServiceId& service) const;

    void reported(const EndpointId& endpoint, const LoadReport& report);
    void submitted(const EndpointId& endpoint);
    /** The agent answered a submission. @param accepted adds it to the load until the next report. */
    void submissionAnswered(const EndpointId& endpoint, bool accepted);
    /** An accepted attempt ended, so the room it took since the last report is free again. */
    void attemptEnded(const EndpointId& endpoint);
    /** Drops what was learned on earlier connections. */
    void resetConnectionState(const EndpointId& endpoint);

private:
    std::map<EndpointId, EndpointState> views;
    std::map<ServiceId, std::vector<const EndpointState*>> subsets;
};

/** @return submissions that the last report cannot have counted. */
std::uint32_t sentSinceReport(const EndpointState& view);

/** @return generations the endpoint can take at once by its last report and what was sent since. */
std::uint32_t freeCapacity(const EndpointState& view);

/** @return generations at the endpoint, running and waiting, by the same estimate. */
std::uint32_t outstanding(const EndpointState& view);

}
