#pragma once

#include "core/control/ControlLimits.h"
#include "ports/ControlPorts.h"
#include "ports/DocumentCodec.h"
#include "ports/Randomness.h"

#include <map>
#include <optional>
#include <vector>

namespace teaselfold {

// Why an operation on the platform was started.

struct SnapshotRowLookup { };
struct SnapshotLoad { };
struct NoteScan { };
struct OrderScan { };
struct InstanceScan { };

/** A note's conditional insert for an operator. */
struct NoteInsert {
    AdminRequestId admin;
};

/** A look at the row that a note's insert may have written. */
struct NoteReadBack {
    AdminRequestId admin;
};

/** An operator's read of accepted notes. */
struct HistoryScan {
    AdminRequestId admin;
};

/** A look at the newest snapshot before one is written. */
struct SnapshotCheck { };

/** The write of a snapshot's object; `row` is the row that will name it. */
struct SnapshotObjectWrite {
    ReleaseVersion version;
    std::optional<TableRecord> row;
};

/** The write of the row that names the newest snapshot. */
struct SnapshotRowWrite {
    ReleaseVersion version;
};

/** The insert of the record of an operator's act. */
struct ActWrite {
    std::string key;
};

/** An operator's read of the acts. */
struct ActScan {
    AdminRequestId admin;
    std::uint32_t limit { 0 };
};

/** The conditional write that records an order. */
struct OrderWrite {
    ServiceOrder order;
};

using OperationPurpose = std::variant<SnapshotRowLookup, SnapshotLoad, NoteScan, OrderScan, InstanceScan, NoteInsert,
    NoteReadBack, HistoryScan, SnapshotCheck, SnapshotObjectWrite, SnapshotRowWrite, OrderWrite, ActWrite, ActScan>;

/** The platform operations without a result yet. */
class ControlOperations {
public:
    /** @return the id of a new operation. */
    OperationId start(OperationPurpose purpose, Instant now);
    /** @return the purpose, or nothing when the operation is unknown, answered or expired. */
    std::optional<OperationPurpose> finish(OperationId operation);
    /** Removes operations older than a limit. @return their ids with their purposes, oldest first. */
    std::vector<OperationPurpose> expire(Instant now, Duration timeout);

private:
    struct Started {
        OperationPurpose purpose;
        Instant at;
    };

    std::uint64_t lastId { 0 };
    std::map<OperationId, Started> started;
};

class ActKeeper;

/** What the parts of the control core share while one event is handled. */
struct ControlContext {
    const EntryId& entry;
    const DocumentCodec& codec;
    Randomness& randomness;
    const ControlLimits& limits;
    ControlOperations& operations;
    ActKeeper& acts;
    std::vector<ControlAction>& actions;
    Instant now;

    /** Starts an operation on the platform. */
    void ask(PlatformRequest request, OperationPurpose purpose);
    /** Answers an operator. */
    void answer(AdminRequestId admin, AdminMessage message);
    /** @return an id for an operator's act. */
    OrderId drawId();
    /** Writes a log line. */
    void log(std::string name, std::vector<LogField> fields);
};

/** @return the platform's failure as an answer. @param run whether the operator's request took effect. */
Failure storeFailure(Executed run);

/** @return whether the platform gave no answer. */
bool isUnavailable(const PlatformResult& result);

}
