#pragma once

#include "ports/CallerMessages.h"
#include "ports/LinkMessages.h"
#include "ports/PlatformMessages.h"
#include "ports/Telemetry.h"

namespace teaselfold {

/** Pairs an operator's request on the admin port with its answer. */
using AdminRequestId = Id<struct AdminRequestTag, std::uint64_t>;

// Events of the entry's router duty.

/** The link to an endpoint's agent is up; nothing was received on it yet. */
struct LinkUp {
    EndpointId endpoint;
};

/** The link to an endpoint's agent is gone; messages sent last may be lost. */
struct LinkDown {
    EndpointId endpoint;
};

/** A message from an endpoint's agent. */
struct FromAgent {
    EndpointId endpoint;
    AgentMessage message;
};

/** A newer configuration is in force. Sent by the control duty. */
struct FleetChanged {
    Fleet fleet;
    /** The note that led to it from the version before; nothing when several or none did. */
    std::optional<NoteDelivery> note {};
};

/** Orders that changed by a merge, recorded or not. Sent by the control duty. */
struct OrdersChanged {
    std::vector<ServiceOrder> orders;
};

/** The platform's instance list, newest read. */
struct InstancesListed {
    InstanceList list;
};

/** An operator asks for the requests that ran where an endpoint died. Answered by SuspectsListed. */
struct QuerySuspects {
    AdminRequestId admin;
};

/** An operator lets a quarantined request run again. Answered by SuspectReleased. */
struct ReleaseSuspect {
    AdminRequestId admin;
    Fingerprint fingerprint;
    /** Comes back with the answer. */
    AuditRecord auditRecord;
};

/** Takes no new work from here on; requests in progress are finished. */
struct StopRequested { };

/** The duty's period passed. */
struct Tick { };

using RouterEvent = std::variant<CompletionRequest, StreamResumeRequest, ServiceCallRequest, CallerDisconnected,
    CallerConsumed, LinkUp, LinkDown, FromAgent, FleetChanged, OrdersChanged, InstancesListed, QuerySuspects,
    ReleaseSuspect, StopRequested, Tick>;

/** An agent that an entry may ask for the configuration before it knows one. */
struct SeedAgent {
    EndpointId endpoint;
    Address agent;
    bool operator==(const SeedAgent&) const = default;
};

// Actions of the entry's router duty.

/** Sends a message on the link to an endpoint; dropped when the link is down, which the LinkDown event tells. */
struct ToAgent {
    EndpointId endpoint;
    EntryMessage message;
    bool operator==(const ToAgent&) const = default;
};

/** Hands a message to the thread that serves a caller. */
struct ToCaller {
    RequestId request;
    CallerMessage message;
    bool operator==(const ToCaller&) const = default;
};

/** Opens a new connection to an endpoint's agent, dropping an older one without waiting for it. */
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

/** Hands the control duty what a peer knows of configuration and orders. */
struct ToControl {
    EndpointId endpoint;
    std::variant<FleetCopy, NoteDelivery, OrdersDelivery, LoadReport> message;
    bool operator==(const ToControl&) const = default;
};

/** A request that ran where an endpoint died. */
struct SuspectView {
    Fingerprint fingerprint;
    std::uint32_t deaths { 0 };
    /** Time until it is forgotten. */
    Milliseconds remaining { 0 };
    /** True when it is refused until then. */
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
    /** False when no such request is known here. */
    bool known { false };
    bool operator==(const SuspectReleased&) const = default;
};

/** No request is in progress after a StopRequested; the process may end. */
struct Drained {
    bool operator==(const Drained&) const = default;
};

using RouterAction = std::variant<ToAgent, ToCaller, OpenLink, CloseLink, ToControl, SuspectsListed, SuspectReleased,
    LogEvent, Observation, Drained>;

}
