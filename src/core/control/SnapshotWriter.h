#pragma once

#include "core/control/ControlContext.h"

namespace teaselfold {

/**
 * Writes snapshots of the configuration at intervals, so that a starting entry reads few notes. The entry that
 * published a version writes first; the others write only after a random number of further versions, to avoid
 * duplicates.
 */
class SnapshotWriter {
public:
    /** Starts a snapshot if one is due. @param published whether this entry published the newest version. */
    void startIfDue(const Fleet& fleet, bool published, ControlContext& context);
    void onCheck(const PlatformResult& result, const Fleet& fleet, ControlContext& context);
    void onObject(const SnapshotObjectWrite& purpose, const PlatformResult& result, ControlContext& context);
    void onRow(const SnapshotRowWrite& purpose, const PlatformResult& result, ControlContext& context);

private:
    std::uint64_t newestSnapshot { 0 };
    /** Random number of versions that this entry waits beyond the interval; zero until it is drawn. */
    std::uint64_t jitter { 0 };
    bool inProgress { false };
};

}
