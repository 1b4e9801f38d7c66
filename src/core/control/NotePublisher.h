#pragma once

#include "core/common/FleetUpdate.h"
#include "core/control/FleetKeeper.h"

#include <map>

namespace teaselfold {

/**
 * Publishes operators' notes. A note becomes a version by one conditional insert; when its answer is lost, the row is
 * read back and its note compared.
 */
class NotePublisher {
public:
    explicit NotePublisher(StrategyNames strategies);

    void publish(const PublishNote& request, FleetKeeper& fleets, ControlContext& context);
    void onInsert(AdminRequestId admin, const PlatformResult& result, FleetKeeper& fleets, ControlContext& context);
    void onReadBack(AdminRequestId admin, const PlatformResult& result, FleetKeeper& fleets, ControlContext& context);
    /** Goes on with notes that waited for a read of the table. */
    void onNotesRead(FleetKeeper& fleets, ControlContext& context);
    /** Retries what the table did not answer and ends waits that lasted too long. */
    void tick(FleetKeeper& fleets, ControlContext& context);

private:
    enum class Stage : std::uint8_t {
        AwaitingRead,
        AwaitingTable,
        AwaitingRetry,
    };

    struct Publication {
        PublishNote request;
        Instant until;
        Stage stage { Stage::AwaitingRead };
        Instant nextTry {};
        /** True once an insert was sent whose outcome is unknown. */
        bool maybeWritten { false };
    };

    Publication* find(AdminRequestId admin);
    void decide(Publication& publication, bool refreshed, FleetKeeper& fleets, ControlContext& context);
    void checkAndInsert(Publication& publication, const FleetKeeper& fleets, ControlContext& context);
    void insert(Publication& publication, ControlContext& context);
    void readBack(Publication& publication, ControlContext& context);
    void retryLater(Publication& publication, ControlContext& context);
    void onRow(Publication& publication, const TableRecord& row, FleetKeeper& fleets, ControlContext& context);
    void accept(const Publication& publication, FleetKeeper& fleets, ControlContext& context);
    static void recordAct(const PublishNote& request, ControlContext& context);
    void end(AdminRequestId admin, AdminMessage message, ControlContext& context);

    StrategyNames strategies;
    std::map<AdminRequestId, Publication> publications;
};

}
