#pragma once

#include "core/control/ControlContext.h"

namespace teaselfold {

/**
 * Keeps the distance between the newest snapshot and the newest version short, so that a start reads few notes.
 * The entry that published writes first; others step in, each after a random number of further versions.
 */
class SnapshotWriter {
public:
    /** Starts a snapshot when one is due. @param published whether this entry published the newest version. */
    void startIfDue(const Fleet& fleet, bool published, ControlContext& context);
    void onCheck(const PlatformResult& result, const Fleet& fleet, ControlContext& context);
    void onObject(const SnapshotObjectWrite& purpose, const PlatformResult& result, ControlContext& context);
    void onRow(const SnapshotRowWrite& purpose, const PlatformResult& result, ControlContext& context);

private:
    std::uint64_t newestSnapshot { 0 };
    /** Versions that this entry waits beyond the interval; zero until drawn. */
    std::uint64_t jitter { 0 };
    bool inProgress { false };
};

}
