#pragma once

#include "core/control/ControlLimits.h"
#include "ports/ControlPorts.h"
#include "ports/DocumentCodec.h"
#include "ports/Randomness.h"

#include <map>
#include <optional>
#include <vector>

namespace teaselfold {

// The purposes of operations on the platform. An operation's result is handled according to its purpose.

struct SnapshotRowLookup { };
struct SnapshotLoad { };
struct NoteScan { };
struct OrderScan { };
struct InstanceScan { };

/** The conditional insert of an operator's note. */
struct NoteInsert {
    AdminRequestId admin;
};

/** The read of the row that a note's insert may have written. */
struct NoteReadBack {
    AdminRequestId admin;
};

/** The scan of accepted notes for an operator. */
struct HistoryScan {
    AdminRequestId admin;
};

/** The read of the newest snapshot's version before another is written. */
struct SnapshotCheck { };

/** The write of a snapshot's object. `row` is the row to replace afterwards, if there is one. */
struct SnapshotObjectWrite {
    ReleaseVersion version;
    std::optional<TableRecord> row;
};

/** The write of the row that holds the version of the newest snapshot. */
struct SnapshotRowWrite {
    ReleaseVersion version;
};

/** The insert of an operator's act into the audit log. */
struct AuditRecordWrite {
    std::string key;
};

/** The scan of the audit log for an operator. */
struct AuditLogScan {
    AdminRequestId admin;
    std::uint32_t limit { 0 };
};

/** The conditional write that records an order. */
struct OrderWrite {
    ServiceOrder order;
};

using OperationPurpose
    = std::variant<SnapshotRowLookup, SnapshotLoad, NoteScan, OrderScan, InstanceScan, NoteInsert, NoteReadBack,
        HistoryScan, SnapshotCheck, SnapshotObjectWrite, SnapshotRowWrite, OrderWrite, AuditRecordWrite, AuditLogScan>;

/** The operations on the platform that have no result yet. */
class PendingOperations {
public:
    /** Registers a new operation. @return its id. */
    OperationId start(OperationPurpose purpose, Instant now);
    /** Removes an operation. @return its purpose; nothing when it is unknown, already finished or expired. */
    std::optional<OperationPurpose> finish(OperationId operation);
    /** Removes operations that are older than the timeout. @return their purposes, oldest first. */
    std::vector<OperationPurpose> expire(Instant now, Duration timeout);

private:
    struct PendingOperation {
        OperationPurpose purpose;
        Instant startedAt;
    };

    std::uint64_t lastId { 0 };
    std::map<OperationId, PendingOperation> pending;
};

class AuditLog;

/** State that the parts of the control core share while one event is handled. */
struct ControlContext {
    const EntryId& entry;
    const DocumentCodec& codec;
    Randomness& randomness;
    const ControlLimits& limits;
    PendingOperations& pendingOperations;
    AuditLog& auditLog;
    std::vector<ControlAction>& actions;
    Instant now;

    /** Starts an operation on the platform. */
    void submit(PlatformRequest request, OperationPurpose purpose);
    /** Sends an answer to an operator. */
    void answer(AdminRequestId admin, AdminMessage message);
    /** @return a random id for an operator's order or act. */
    OrderId generateId();
    /** Writes a log line. */
    void log(std::string name, std::vector<LogField> fields);
};

/**
 * @param run whether the operator's request took effect.
 * @return the failure that an operator gets when the platform's table does not answer.
 */
Failure storeFailure(Executed run);

/** @return whether the platform did not answer. */
bool isUnavailable(const PlatformResult& result);

}
