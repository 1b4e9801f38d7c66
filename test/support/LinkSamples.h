#pragma once

#include "ports/LinkMessages.h"

namespace teaselfold::Test {

/** @return one message of each type that an entry sends, in the order of the variant's alternatives. */
inline std::vector<EntryMessage> sampleEntryMessages()
{
    const CompletionWork work { TeamId("huye"), ModelId("drafter"), "adapter-2", "a \"prompt\"\n\xff", 77,
        PriorityClass::Batch, Fingerprint(99) };
    const ServiceWork call { TeamId("huye"), ServiceId("order-registry"), "POST", "/orders?x=1",
        { { "Content-Type", "text/plain" }, { "X-Empty", "" } }, std::string("\0body", 5), IdempotencyKey("key-1"),
        true, Fingerprint(5) };
    const ServiceOrder zoneOrder { ZoneId("kgl-a"), 4, true, OrderId("o-1"), "a.person", "works", true };
    const ServiceOrder endpointOrder { EndpointId("drafter-1"), 5, false, OrderId("o-2"), "b", "", false };
    Fleet fleet;
    fleet.version = ReleaseVersion(12);
    ReleaseNote note;
    note.id = NoteId("note-1");
    return { EntryHello { EntryId("entry-1") }, EntryHeartbeat { ReleaseVersion(3), 17 },
        SubmitGeneration { GenerationId(1), work, Milliseconds(1500) }, CancelGeneration { GenerationId(2) },
        ResumeGeneration { GenerationId(3), TeamId("huye"), 40 }, AcknowledgeTokens { GenerationId(4), 41 },
        SubmitCall { GenerationId(5), call, Milliseconds(10) }, FleetCopy { fleet },
        NoteDelivery { ReleaseVersion(13), note }, OrdersDelivery { { zoneOrder, endpointOrder } },
        QuarantineDelivery { { { Fingerprint(8), 2, Milliseconds(60000) } } }, FleetRequest {} };
}

/** @return one message of each type that an agent sends, in the order of the variant's alternatives. */
inline std::vector<AgentMessage> sampleAgentMessages()
{
    const Failure failure { ErrorCode::EngineFailed, "engine died", Executed::Yes, Milliseconds(250) };
    Fleet fleet;
    fleet.version = ReleaseVersion(12);
    ReleaseNote note;
    note.id = NoteId("note-2");
    return { AgentHello { EndpointId("drafter-1"), Incarnation(99) },
        LoadReport { ReleaseVersion(3), 17, 5, 6, 7, 800, Microseconds(26000), Milliseconds(120), true, true },
        GenerationAccepted { GenerationId(1) },
        GenerationRefused { GenerationId(2), ErrorCode::QueueFull, Milliseconds(300) },
        GenerationStarted { GenerationId(3) }, GenerationTokens { GenerationId(4), 9, { "one", "", " three" } },
        GenerationFinished { GenerationId(5), 12, FinishReason::Length }, GenerationFailed { GenerationId(6), failure },
        GenerationUnknown { GenerationId(7) },
        CallAnswered { GenerationId(8), 201, { { "Location", "/orders/1" } }, "made", true },
        CallFailed { GenerationId(9), failure }, FleetCopy { fleet }, NoteDelivery { ReleaseVersion(13), note },
        OrdersDelivery {}, QuarantineDelivery {} };
}

}
