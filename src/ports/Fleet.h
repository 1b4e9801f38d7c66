#pragma once

#include "ports/Ids.h"
#include "ports/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace teaselfold {

/** Scheduling priority that the caller chooses. Lower values are served first. */
enum class PriorityClass : std::uint8_t {
    Interactive,
    Standard,
    Batch,
};
constexpr std::size_t priorityClassCount = 3;

/** An availability zone. */
struct Zone {
    ZoneId id;
    std::string region;

    bool operator==(const Zone&) const = default;
};

/** IP address and port. `host` is never a host name. */
struct Address {
    std::string host;
    std::uint16_t port { 0 };

    bool operator==(const Address&) const = default;
};

/** A back end and the agent that runs beside it. */
struct Endpoint {
    EndpointId id;
    ZoneId zone;
    ServiceId service;
    /** Address at which the agent accepts links from entries. */
    Address agent;
    /** False when the engine ignores fencing tokens. */
    bool checksFencing { true };

    bool operator==(const Endpoint&) const = default;
};

enum class ServiceKind : std::uint8_t {
    Model,
    Plain,
};

/** A method and path prefix whose calls must not be repeated. */
struct NonRepeatable {
    std::string method;
    std::string pathPrefix;

    bool operator==(const NonRepeatable&) const = default;
};

/** Latency objectives of a priority class. */
struct LatencyTarget {
    Milliseconds firstToken { 770 };
    Milliseconds betweenTokens { 26 };

    bool operator==(const LatencyTarget&) const = default;
};

/** Names and parameters of a service's strategies. Names are looked up in the strategy tables of core. */
struct ServicePolicy {
    std::string routing { "prefix-two-choice" };
    std::string admission { "conditional" };
    /** Batch size of the fixed-slots admission. */
    std::uint32_t fixedSlots { 16 };
    /** Percentage of a zone's traffic that may overflow to other zones. */
    std::uint32_t overflowPercent { 30 };

    bool operator==(const ServicePolicy&) const = default;
};

/** A service that a group of interchangeable endpoints provides. */
struct Service {
    ServiceId id;
    ServiceKind kind { ServiceKind::Model };
    std::vector<NonRepeatable> nonRepeatable;
    /** Indexed by PriorityClass. */
    std::vector<LatencyTarget> targets { { Milliseconds(770), Milliseconds(26) },
        { Milliseconds(2000), Milliseconds(50) }, { Milliseconds(10000), Milliseconds(100) } };
    ServicePolicy policy;
    /** Maximum calls in progress per entry, so that one service cannot exhaust an entry. */
    std::uint32_t bulkhead { 2000 };

    bool operator==(const Service&) const = default;
};

/** A model that a service's engines load. */
struct Model {
    ModelId id;
    ServiceId service;
    std::string version;
    std::vector<std::string> adapters;

    bool operator==(const Model&) const = default;
};

/** A customer of the platform. */
struct Team {
    TeamId id;
    /** Weight of the team in the fair sharing of an overloaded endpoint. */
    std::uint32_t weight { 1 };
    /** Maximum requests in progress per entry; further ones are refused. */
    std::uint32_t maxInProgress { 1000 };
    /** Lower-case hexadecimal SHA-256 of the caller's token; empty when none is required. */
    std::string tokenHash;

    bool operator==(const Team&) const = default;
};

/** The operators' complete configuration at one release version. */
struct Fleet {
    ReleaseVersion version;
    std::map<ZoneId, Zone> zones;
    std::map<ServiceId, Service> services;
    std::map<ModelId, Model> models;
    std::map<EndpointId, Endpoint> endpoints;
    std::map<TeamId, Team> teams;

    bool operator==(const Fleet&) const = default;
};

/** Adds an object or replaces the one with the same id. */
template <typename Object> struct Put {
    Object object;
    /** True when the note lists the object as changed, so that it must exist already; false when as added. */
    bool replaces { false };
    bool operator==(const Put&) const = default;
};

/** Removes an object from the fleet. */
template <typename ObjectId> struct Withdraw {
    ObjectId id;
    bool operator==(const Withdraw&) const = default;
};

using FleetChange = std::variant<Put<Zone>, Put<Service>, Put<Model>, Put<Endpoint>, Put<Team>, Withdraw<ZoneId>,
    Withdraw<ServiceId>, Withdraw<ModelId>, Withdraw<EndpointId>, Withdraw<TeamId>>;

/** An operator's edit of the fleet. It is either accepted as version `base + 1` or rejected as a whole. */
struct ReleaseNote {
    NoteId id;
    ReleaseVersion base;
    std::string author;
    std::string reason;
    std::vector<FleetChange> changes;

    bool operator==(const ReleaseNote&) const = default;
};

/** Target of a service order. */
using OrderSubject = std::variant<ZoneId, EndpointId>;

/**
 * An operator's order that takes a zone or an endpoint out of service or brings it back.
 * Of two orders for the same subject the one with the higher sequence is in force. With equal sequences, the order that
 * takes the subject out of service has precedence, then the one with the higher id.
 */
struct ServiceOrder {
    OrderSubject subject;
    std::uint64_t sequence { 0 };
    /** True when the order takes the subject out of service. */
    bool out { false };
    OrderId id;
    std::string author;
    std::string reason;
    /** False while the platform's table has not confirmed the order. */
    bool recorded { false };

    bool operator==(const ServiceOrder&) const = default;
};

enum class AuditedAction : std::uint8_t {
    NoteAccepted,
    TakenOut,
    BroughtIn,
    RequestReleased,
};

/** Record of an operator's action in the audit log; never deleted. */
struct AuditRecord {
    /** The id of the note or the order, or else a random id. */
    OrderId id;
    AuditedAction kind { AuditedAction::NoteAccepted };
    /** Target of the action, such as `release/7`, `zone/kgl-a` or a fingerprint. */
    std::string subject;
    std::string author;
    std::string reason;
    /** Time at which the entry received the request, by the entry's clock. */
    WallTime at {};
    /** False while the platform's table has not confirmed the record. */
    bool recorded { false };

    bool operator==(const AuditRecord&) const = default;
};

}
