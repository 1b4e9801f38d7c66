#pragma once

#include "ports/EngineMessages.h"
#include "ports/LinkMessages.h"
#include "ports/PlatformMessages.h"
#include "ports/Telemetry.h"

namespace teaselfold {

// Events of the agent's admission duty.

/** The link from an entry is up: its EntryHello was received. */
struct EntryLinkUp {
    EntryId entry;
};

/** The link from an entry is down. The entry's generations continue until their grace period ends. */
struct EntryLinkDown {
    EntryId entry;
};

/** A message received from an entry. */
struct FromEntry {
    EntryId entry;
    EntryMessage message;
};

/** An event from the engine adapter, including the loss of the engine. */
struct FromEngine {
    EngineEvent event;
};

/** The plain service's response, or the failure of the call. */
struct FromService {
    ServiceEvent event;
};

/** The platform's reply to an operation of this duty. */
struct FromPlatform {
    PlatformReply reply;
};

/** The platform announced that it will remove the instance on which the agent runs. */
struct LeavingNotice { };

/** Asks the duty to accept no new work and to finish the work in progress. */
struct AgentStopRequested { };

/** Delivered once per period of the duty. */
struct AgentTick { };

using AgentEvent = std::variant<EntryLinkUp, EntryLinkDown, FromEntry, FromEngine, FromService, FromPlatform,
    LeavingNotice, AgentStopRequested, AgentTick>;

// Actions of the agent's duties.

/** Sends a message to an entry, or drops it when the entry's link is down. */
struct ToEntry {
    EntryId entry;
    AgentMessage message;
    bool operator==(const ToEntry&) const = default;
};

/** Submits a command to the engine adapter. */
struct ToEngine {
    EngineCommand command;
    bool operator==(const ToEngine&) const = default;
};

/** Submits a call to the service adapter. */
struct ToService {
    ServiceForward forward;
    bool operator==(const ToService&) const = default;
};

/** Submits an operation to the platform adapter. */
struct ToPlatform {
    PlatformOperation operation;
    bool operator==(const ToPlatform&) const = default;
};

/** No work is in progress after an AgentStopRequested; the process may exit. */
struct AgentDrained {
    bool operator==(const AgentDrained&) const = default;
};

using AgentAction = std::variant<ToEntry, ToEngine, ToService, ToPlatform, LogEvent, Observation, AgentDrained>;

}
