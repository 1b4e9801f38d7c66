#pragma once

#include "ports/CallerMessages.h"
#include "ports/LinkMessages.h"
#include "ports/PlatformMessages.h"
#include "ports/Telemetry.h"

namespace teaselfold {

/** Matches an operator's request on the admin port with its reply. */
using AdminRequestId = Id<struct AdminRequestTag, std::uint64_t>;

// Events of the entry's router duty.

/** The link to an endpoint's agent is connected; no message has been received on it yet. */
struct LinkUp {
    EndpointId endpoint;
};

/** The link to an endpoint's agent is down; the last messages sent may be lost. */
struct LinkDown {
    EndpointId endpoint;
};

/** A message received from an endpoint's agent. */
struct FromAgent {
    EndpointId endpoint;
    AgentMessage message;
};

/** A newer configuration is in force. Sent by the control duty. */
struct FleetChanged {
    Fleet fleet;
    /** The release note that turned the previous version into this one; unset when it was not a single note. */
    std::optional<NoteDelivery> note {};
};

/** Service orders that changed, whether the table has confirmed them or not. Sent by the control duty. */
struct OrdersChanged {
    std::vector<ServiceOrder> orders;
};

/** The platform's instance list, as last read. */
struct InstancesListed {
    InstanceList list;
};

/** An operator requests the list of quarantine suspects. Answered by SuspectsListed. */
struct QuerySuspects {
    AdminRequestId admin;
};

/** An operator releases a request from quarantine. Answered by SuspectReleased. */
struct ReleaseSuspect {
    AdminRequestId admin;
    Fingerprint fingerprint;
    /** Returned unchanged in SuspectReleased. */
    AuditRecord auditRecord;
};

/** Asks the duty to accept no new requests and to finish those in progress. */
struct RouterStopRequested { };

/** Delivered once per period of the duty. */
struct RouterTick { };

using RouterEvent = std::variant<CompletionRequest, StreamResumeRequest, ServiceCallRequest, CallerDisconnected,
    CallerConsumed, LinkUp, LinkDown, FromAgent, FleetChanged, OrdersChanged, InstancesListed, QuerySuspects,
    ReleaseSuspect, RouterStopRequested, RouterTick>;

/** An agent from which an entry without a configuration can request one. */
struct SeedAgent {
    EndpointId endpoint;
    Address agent;
    bool operator==(const SeedAgent&) const = default;
};

// Actions of the entry's router duty.

/** Sends a message on the link to an endpoint's agent, or drops it when the link is down. */
struct ToAgent {
    EndpointId endpoint;
    EntryMessage message;
    bool operator==(const ToAgent&) const = default;
};

/** Passes a message to the thread that serves a caller. */
struct ToCaller {
    RequestId request;
    CallerMessage message;
    bool operator==(const ToCaller&) const = default;
};

/** Opens a new connection to an endpoint's agent and drops an existing one without waiting for it to close. */
struct OpenLink {
    EndpointId endpoint;
    Address address;
    bool operator==(const OpenLink&) const = default;
};

/** Closes the connection to an endpoint's agent. */
struct CloseLink {
    EndpointId endpoint;
    bool operator==(const CloseLink&) const = default;
};

/** Forwards a message about configuration or service orders from an endpoint's agent to the control duty. */
struct ToControl {
    EndpointId endpoint;
    std::variant<FleetCopy, NoteDelivery, OrdersDelivery, LoadReport> message;
    bool operator==(const ToControl&) const = default;
};

/** A quarantine suspect: a request that was running at an endpoint when the endpoint crashed. */
struct SuspectView {
    Fingerprint fingerprint;
    /** Endpoint crashes during which the request was running. */
    std::uint32_t deaths { 0 };
    /** Time until the suspicion expires. */
    Milliseconds remaining { 0 };
    /** True when the request is refused until the suspicion expires. */
    bool refused { false };
    bool operator==(const SuspectView&) const = default;
};

/** Answers QuerySuspects; sorted by fingerprint. */
struct SuspectsListed {
    AdminRequestId admin;
    std::vector<SuspectView> suspects;
    bool operator==(const SuspectsListed&) const = default;
};

/** Answers ReleaseSuspect. */
struct SuspectReleased {
    AdminRequestId admin;
    AuditRecord auditRecord;
    /** False when this entry has no such suspect. */
    bool known { false };
    bool operator==(const SuspectReleased&) const = default;
};

/** No request is in progress after a RouterStopRequested; the process may exit. */
struct RouterDrained {
    bool operator==(const RouterDrained&) const = default;
};

using RouterAction = std::variant<ToAgent, ToCaller, OpenLink, CloseLink, ToControl, SuspectsListed, SuspectReleased,
    LogEvent, Observation, RouterDrained>;

}
