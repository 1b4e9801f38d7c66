#pragma once

#include "core/common/FleetUpdate.h"
#include "core/control/FleetReplica.h"

#include <map>

namespace teaselfold {

/**
 * Publishes operators' notes. A note is accepted when the conditional insert of its version's row succeeds. When the
 * reply to the insert is lost, the row is read back and compared with the note.
 */
class NotePublisher {
public:
    explicit NotePublisher(StrategyNames strategies);

    void publish(const PublishNote& request, FleetReplica& fleetReplica, ControlContext& context);
    void onInsert(
        AdminRequestId admin, const PlatformResult& result, FleetReplica& fleetReplica, ControlContext& context);
    void onReadBack(
        AdminRequestId admin, const PlatformResult& result, FleetReplica& fleetReplica, ControlContext& context);
    /** Continues the publications that wait for a read of the table's notes. */
    void onNotesRead(FleetReplica& fleetReplica, ControlContext& context);
    /** Retries operations without a reply and ends publications whose deadline has passed. */
    void tick(FleetReplica& fleetReplica, ControlContext& context);

private:
    enum class Stage : std::uint8_t {
        AwaitingRead,
        AwaitingTable,
        AwaitingRetry,
    };

    struct Publication {
        PublishNote request;
        Instant deadline;
        Stage stage { Stage::AwaitingRead };
        Instant nextAttemptAt {};
        /** True once an insert with an unknown outcome was sent. */
        bool maybeWritten { false };
    };

    Publication* find(AdminRequestId admin);
    /** Starts a publication's next step. @param refreshed whether the table was read after the publication began. */
    void advance(Publication& publication, bool refreshed, FleetReplica& fleetReplica, ControlContext& context);
    void checkAndInsert(Publication& publication, const FleetReplica& fleetReplica, ControlContext& context);
    void insert(Publication& publication, ControlContext& context);
    void readBack(Publication& publication, ControlContext& context);
    void scheduleRetry(Publication& publication, ControlContext& context);
    void compareWithRow(
        Publication& publication, const TableRecord& row, FleetReplica& fleetReplica, ControlContext& context);
    void accept(const Publication& publication, FleetReplica& fleetReplica, ControlContext& context);
    static void recordPublication(const PublishNote& request, ControlContext& context);
    void finish(AdminRequestId admin, AdminMessage message, ControlContext& context);

    StrategyNames strategies;
    std::map<AdminRequestId, Publication> publications;
};

}
