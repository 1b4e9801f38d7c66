#pragma once

#include "ports/EntryPorts.h"

namespace teaselfold {

// Events of the entry's control duty, which maintains the configuration and the service orders.

/** An operator submits a release note. */
struct PublishNote {
    AdminRequestId admin;
    ReleaseNote note;
    /** Checks only; nothing is written. */
    bool dryRun { false };
    WallTime at {};
};

/** An operator takes a zone or an endpoint out of service or brings it back into service. */
struct IssueOrder {
    AdminRequestId admin;
    OrderSubject subject;
    bool out { false };
    std::string author;
    std::string reason;
    WallTime at {};
};

/** An operator requests the configuration in force and the service orders. */
struct QueryConfiguration {
    AdminRequestId admin;
};

/** An operator requests the release notes that were accepted after a version. */
struct QueryHistory {
    AdminRequestId admin;
    ReleaseVersion after;
    std::uint32_t limit { 100 };
};

/** An operator requests the list of quarantine suspects. */
struct QueryQuarantine {
    AdminRequestId admin;
};

/** An operator releases a request from quarantine. */
struct ReleaseQuarantined {
    AdminRequestId admin;
    Fingerprint fingerprint;
    std::string author;
    std::string reason;
    WallTime at {};
};

/** An operator requests the audit log. */
struct QueryAuditLog {
    AdminRequestId admin;
    /** Only records whose key is greater; empty for all. */
    std::string after;
    std::uint32_t limit { 100 };
};

/** The agent of an endpoint sent the configuration, a release note, service orders or a load report. */
struct PeerUpdate {
    EndpointId endpoint;
    std::variant<FleetCopy, NoteDelivery, OrdersDelivery, LoadReport> message;
};

/** The platform's reply to an operation of this duty. */
struct ControlPlatformReply {
    PlatformReply reply;
};

/** Delivered once per period of the duty. */
struct ControlTick { };

using ControlEvent = std::variant<PublishNote, IssueOrder, QueryConfiguration, QueryHistory, QueryQuarantine,
    ReleaseQuarantined, QueryAuditLog, SuspectsListed, SuspectReleased, PeerUpdate, ControlPlatformReply, ControlTick>;

// Actions of the control duty.

/** One validation error of a release note. */
struct NoteProblem {
    /** Path of the field in the note, such as `added.endpoints[2].zone`. */
    std::string place;
    std::string expected;
    /** Line of the note's text, counted from 1; zero when it is unknown. */
    std::uint32_t line { 0 };
    bool operator==(const NoteProblem&) const = default;
};

/** The note was written to the table as this version; a dry run gives the version that it would have received. */
struct NoteAccepted {
    ReleaseVersion version;
    bool dryRun { false };
    bool operator==(const NoteAccepted&) const = default;
};

/** The note's base is not the latest version. Nothing was written. */
struct NoteStale {
    ReleaseVersion current;
    bool operator==(const NoteStale&) const = default;
};

/** The note failed validation; all errors are listed. Nothing was written. */
struct NoteInvalid {
    std::vector<NoteProblem> problems;
    bool operator==(const NoteInvalid&) const = default;
};

/** The order is in force at this entry; `order.recorded` is true when the table has confirmed it. */
struct OrderAccepted {
    ServiceOrder order;
    bool operator==(const OrderAccepted&) const = default;
};

/** A conflicting order of another operator takes precedence. */
struct OrderSuperseded {
    ServiceOrder winner;
    bool operator==(const OrderSuperseded&) const = default;
};

/** The last load report that this entry received from an endpoint's agent. */
struct EndpointView {
    EndpointId endpoint;
    LoadReport report;
    /** Time since the report was received. */
    Milliseconds age { 0 };
    bool operator==(const EndpointView&) const = default;
};

/** The configuration in force at this entry, the service orders, and the reports of the linked agents. */
struct ConfigurationView {
    Fleet fleet;
    std::vector<ServiceOrder> orders;
    /** True while the platform's table responds. */
    bool tableReachable { false };
    std::vector<EndpointView> endpoints;
    /** Names of the instances that the platform's instance list marks as leaving. */
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

/** The requests known to this entry that were running at an endpoint when it crashed. */
struct QuarantineView {
    std::vector<SuspectView> suspects;
    bool operator==(const QuarantineView&) const = default;
};

/** The request was released; `auditRecord.recorded` is false until the table has stored the record. */
struct QuarantineReleased {
    AuditRecord auditRecord;
    bool operator==(const QuarantineReleased&) const = default;
};

/** A page of the audit log, oldest record first. */
struct AuditLogView {
    std::vector<AuditRecord> records;
    /** Value of QueryAuditLog::after for the next page; empty on the last page. */
    std::string next;
    /** False when the table does not respond, so that only this entry's records that await storage are listed. */
    bool complete { true };
    bool operator==(const AuditLogView&) const = default;
};

using AdminMessage = std::variant<NoteAccepted, NoteStale, NoteInvalid, OrderAccepted, OrderSuperseded,
    ConfigurationView, HistoryView, QuarantineView, QuarantineReleased, AuditLogView, Failure>;

/** Passes a reply to the thread that serves an operator's request. */
struct ToAdmin {
    AdminRequestId admin;
    AdminMessage message;
    bool operator==(const ToAdmin&) const = default;
};

/** Submits an operation to the platform adapter. */
struct ControlToPlatform {
    PlatformOperation operation;
    bool operator==(const ControlToPlatform&) const = default;
};

/** Sends the router a newer configuration, newer orders, the latest instance list or an operator's request. */
struct ToRouter {
    std::variant<FleetChanged, OrdersChanged, InstancesListed, QuerySuspects, ReleaseSuspect> event;
};

using ControlAction = std::variant<ToAdmin, ControlToPlatform, ToRouter, LogEvent>;

}
