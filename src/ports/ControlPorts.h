#pragma once

#include "ports/EntryPorts.h"

namespace teaselfold {

// Events of the entry's control duty, which keeps the configuration and the service orders.

/** An operator submits a release note. */
struct PublishNote {
    AdminRequestId admin;
    ReleaseNote note;
    /** Checks only; nothing is written. */
    bool dryRun { false };
    WallTime at {};
};

/** An operator takes a zone or an endpoint out of service or brings it back. */
struct IssueOrder {
    AdminRequestId admin;
    OrderSubject subject;
    bool out { false };
    std::string author;
    std::string reason;
    WallTime at {};
};

/** An operator asks for the configuration in force and the orders. */
struct QueryConfiguration {
    AdminRequestId admin;
};

/** An operator asks for accepted notes after a version. */
struct QueryHistory {
    AdminRequestId admin;
    ReleaseVersion after;
    std::uint32_t limit { 100 };
};

/** An operator asks for the quarantined requests. */
struct QueryQuarantine {
    AdminRequestId admin;
};

/** An operator lets a quarantined request run again. */
struct ReleaseQuarantined {
    AdminRequestId admin;
    Fingerprint fingerprint;
    std::string author;
    std::string reason;
    WallTime at {};
};

/** An operator asks for the operators' acts. */
struct QueryAuditLog {
    AdminRequestId admin;
    /** Only acts whose key is greater; empty for all. */
    std::string after;
    std::uint32_t limit { 100 };
};

/** A peer told what it knows. */
struct PeerUpdate {
    EndpointId endpoint;
    std::variant<FleetCopy, NoteDelivery, OrdersDelivery, LoadReport> message;
};

/** The platform answered. */
struct ControlPlatformReply {
    PlatformReply reply;
};

/** The duty's period passed. */
struct ControlTick { };

using ControlEvent = std::variant<PublishNote, IssueOrder, QueryConfiguration, QueryHistory, QueryQuarantine,
    ReleaseQuarantined, QueryAuditLog, SuspectsListed, SuspectReleased, PeerUpdate, ControlPlatformReply, ControlTick>;

// Actions of the control duty.

/** One fault of a release note. */
struct NoteProblem {
    /** Where in the note, such as `added.endpoints[2].zone`. */
    std::string place;
    std::string expected;
    /** Line of the note's text, from 1 on; zero when it is not known. */
    std::uint32_t line { 0 };
    bool operator==(const NoteProblem&) const = default;
};

/** The note is in the table under this version. For a dry run, the version it would have got. */
struct NoteAccepted {
    ReleaseVersion version;
    bool dryRun { false };
    bool operator==(const NoteAccepted&) const = default;
};

/** The note's base is not the newest version. Nothing was written. */
struct NoteStale {
    ReleaseVersion current;
    bool operator==(const NoteStale&) const = default;
};

/** The note is wrong in itself; every fault is listed. Nothing was written. */
struct NoteInvalid {
    std::vector<NoteProblem> problems;
    bool operator==(const NoteInvalid&) const = default;
};

/** The order as it is in force at this entry; `order.recorded` says whether the table confirmed it. */
struct OrderAccepted {
    ServiceOrder order;
    bool operator==(const OrderAccepted&) const = default;
};

/** Another operator's order won. */
struct OrderSuperseded {
    ServiceOrder winner;
    bool operator==(const OrderSuperseded&) const = default;
};

/** What an endpoint's agent last reported, as this entry knows it. */
struct EndpointView {
    EndpointId endpoint;
    LoadReport report;
    /** Time since the report came. */
    Milliseconds age { 0 };
    bool operator==(const EndpointView&) const = default;
};

/** The configuration in force at this entry, the orders, and the reports of the agents it is linked to. */
struct ConfigurationView {
    Fleet fleet;
    std::vector<ServiceOrder> orders;
    /** True while the platform's table answers. */
    bool tableReachable { false };
    std::vector<EndpointView> endpoints;
    /** Names that the platform's instance list marks as leaving. */
    std::vector<std::string> leavingInstances;
    bool operator==(const ConfigurationView&) const = default;
};

/** One accepted note with its version. */
struct HistoryLine {
    ReleaseVersion version;
    ReleaseNote note;
    bool operator==(const HistoryLine&) const = default;
};

struct HistoryView {
    std::vector<HistoryLine> lines;
    bool operator==(const HistoryView&) const = default;
};

/** The requests that ran where an endpoint died, as this entry knows them. */
struct QuarantineView {
    std::vector<SuspectView> suspects;
    bool operator==(const QuarantineView&) const = default;
};

/** The act took effect; `act.recorded` is false until the table has its record. */
struct QuarantineReleased {
    AuditRecord auditRecord;
    bool operator==(const QuarantineReleased&) const = default;
};

/** Operators' acts, oldest first. */
struct AuditLogView {
    std::vector<AuditRecord> records;
    /** Where to go on; empty at the end. */
    std::string next;
    /** False when the table does not answer, so that only this entry's unrecorded acts are listed. */
    bool complete { true };
    bool operator==(const AuditLogView&) const = default;
};

using AdminMessage = std::variant<NoteAccepted, NoteStale, NoteInvalid, OrderAccepted, OrderSuperseded,
    ConfigurationView, HistoryView, QuarantineView, QuarantineReleased, AuditLogView, Failure>;

/** Hands an answer to the thread that serves an operator. */
struct ToAdmin {
    AdminRequestId admin;
    AdminMessage message;
    bool operator==(const ToAdmin&) const = default;
};

/** Hands the platform adapter an operation. */
struct ControlToPlatform {
    PlatformOperation operation;
    bool operator==(const ControlToPlatform&) const = default;
};

/** Hands the router a newer configuration, newer orders, the newest instance list or an operator's question. */
struct ToRouter {
    std::variant<FleetChanged, OrdersChanged, InstancesListed, QuerySuspects, ReleaseSuspect> event;
};

using ControlAction = std::variant<ToAdmin, ControlToPlatform, ToRouter, LogEvent>;

}
