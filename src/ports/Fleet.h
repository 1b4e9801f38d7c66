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

/** The caller's choice of urgency. Lower values are served first. */
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

/** IP number and port; never a host name. */
struct Address {
    std::string host;
    std::uint16_t port { 0 };

    bool operator==(const Address&) const = default;
};

/** One back end with an agent beside it. */
struct Endpoint {
    EndpointId id;
    ZoneId zone;
    ServiceId service;
    /** Where the agent accepts links from entries. */
    Address agent;
    /** False when the engine ignores fencing numbers. */
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

/** Latency goals of a priority class. */
struct LatencyTarget {
    Milliseconds firstToken { 770 };
    Milliseconds betweenTokens { 26 };

    bool operator==(const LatencyTarget&) const = default;
};

/** Names of the strategies in force for a service; looked up in the strategy tables of core. */
struct ServicePolicy {
    std::string routing { "prefix-two-choice" };
    std::string admission { "conditional" };
    /** Batch size of the fixed-slots admission. */
    std::uint32_t fixedSlots { 16 };
    /** Share of one zone's traffic, in percent, that may overflow to other zones. */
    std::uint32_t overflowPercent { 30 };

    bool operator==(const ServicePolicy&) const = default;
};

/** What endpoints of one kind host together. */
struct Service {
    ServiceId id;
    ServiceKind kind { ServiceKind::Model };
    std::vector<NonRepeatable> nonRepeatable;
    /** Indexed by PriorityClass. */
    std::vector<LatencyTarget> targets { { Milliseconds(770), Milliseconds(26) },
        { Milliseconds(2000), Milliseconds(50) }, { Milliseconds(10000), Milliseconds(100) } };
    ServicePolicy policy;
    /** Calls an entry may have in progress at this service, so that one service cannot use up an entry. */
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
    /** Share of a crowded endpoint relative to other teams. */
    std::uint32_t weight { 1 };
    /** Requests in progress at one entry; more are refused. */
    std::uint32_t maxInProgress { 1000 };
    /** Lower-case hexadecimal SHA-256 of the caller's token; empty when none is required. */
    std::string tokenHash;

    bool operator==(const Team&) const = default;
};

/** All that operators have configured, as of one release version. */
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
    /** True when the note lists the object as changed, so that it must exist before; false when as added. */
    bool replaces { false };
    bool operator==(const Put&) const = default;
};

/** Takes an object out of the fleet. */
template <typename ObjectId> struct Withdraw {
    ObjectId id;
    bool operator==(const Withdraw&) const = default;
};

using FleetChange = std::variant<Put<Zone>, Put<Service>, Put<Model>, Put<Endpoint>, Put<Team>, Withdraw<ZoneId>,
    Withdraw<ServiceId>, Withdraw<ModelId>, Withdraw<EndpointId>, Withdraw<TeamId>>;

/** One operator's edit of the fleet. Accepted as version `base + 1` or not at all. */
struct ReleaseNote {
    NoteId id;
    ReleaseVersion base;
    std::string author;
    std::string reason;
    std::vector<FleetChange> changes;

    bool operator==(const ReleaseNote&) const = default;
};

/** What an operator's order applies to. */
using OrderSubject = std::variant<ZoneId, EndpointId>;

/**
 * An operator's order that takes a zone or an endpoint out of service or brings it back.
 * Of two orders for one subject the higher sequence is in force; of equal ones "out" wins, then the higher id.
 */
struct ServiceOrder {
    OrderSubject subject;
    std::uint64_t sequence { 0 };
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

/** One act of an operator, kept for good. */
struct AuditRecord {
    /** The id of the note or the order, or drawn for this act. */
    OrderId id;
    AuditedAction kind { AuditedAction::NoteAccepted };
    /** What it applies to, such as `release/7`, `zone/kgl-a` or a fingerprint. */
    std::string subject;
    std::string author;
    std::string reason;
    /** When the entry took the request, by the entry's clock. */
    WallTime at {};
    /** False while the platform's table has not confirmed the record. */
    bool recorded { false };

    bool operator==(const AuditRecord&) const = default;
};

}
