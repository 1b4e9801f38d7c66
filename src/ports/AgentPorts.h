#pragma once

#include "ports/EngineMessages.h"
#include "ports/LinkMessages.h"
#include "ports/PlatformMessages.h"
#include "ports/Telemetry.h"

namespace teaselfold {

// Events of the agent's admission duty.

/** An entry's link is up: its EntryHello came. */
struct EntryLinkUp {
    EntryId entry;
};

/** An entry's link is gone. Its generations go on until their grace time ends. */
struct EntryLinkDown {
    EntryId entry;
};

/** A message from an entry. */
struct FromEntry {
    EntryId entry;
    EntryMessage message;
};

/** Something the engine said, or its silence. */
struct FromEngine {
    EngineEvent event;
};

/** The plain service's answer, or its silence. */
struct FromService {
    ServiceEvent event;
};

/** The platform's answer to one of this duty's operations. */
struct FromPlatform {
    PlatformReply reply;
};

/** The platform announced that the instance beside which the agent runs is leaving. */
struct LeavingNotice { };

/** Takes no new work from here on; work in progress is finished. */
struct AgentStopRequested { };

/** The duty's period passed. */
struct AgentTick { };

using AgentEvent = std::variant<EntryLinkUp, EntryLinkDown, FromEntry, FromEngine, FromService, FromPlatform,
    LeavingNotice, AgentStopRequested, AgentTick>;

// Actions of the agent's duties.

/** Sends a message to an entry; dropped when its link is down. */
struct ToEntry {
    EntryId entry;
    AgentMessage message;
    bool operator==(const ToEntry&) const = default;
};

/** Hands the engine adapter a command. */
struct ToEngine {
    EngineCommand command;
    bool operator==(const ToEngine&) const = default;
};

/** Hands the service adapter a call. */
struct ToService {
    ServiceForward forward;
    bool operator==(const ToService&) const = default;
};

/** Hands the platform adapter an operation. */
struct ToPlatform {
    PlatformOperation operation;
    bool operator==(const ToPlatform&) const = default;
};

/** Nothing is in progress after an AgentStopRequested; the process may end. */
struct AgentDrained {
    bool operator==(const AgentDrained&) const = default;
};

using AgentAction = std::variant<ToEntry, ToEngine, ToService, ToPlatform, LogEvent, Observation, AgentDrained>;

}
