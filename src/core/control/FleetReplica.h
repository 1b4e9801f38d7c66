#pragma once

#include "core/control/ControlContext.h"

namespace teaselfold {

/**
 * This entry's replica of the configuration: reads the newest snapshot at start and applies accepted notes. Its version
 * never decreases, and intermediate versions of a read are not sent to the router.
 */
class FleetReplica {
public:
    const Fleet& fleet() const { return this->current; }

    /** @return whether a configuration is in force: the table's or, in an outage, the highest version of the peers. */
    bool isReady() const;

    /** @return whether all notes in the table have been read once since the process started. */
    bool isConfirmed() const { return this->confirmed; }

    /** Starts a read unless one is in progress. */
    void poll(ControlContext& context);

    /** Starts a read even when one is in progress, since that one may return data from before a pause. */
    void refresh(ControlContext& context);

    void onSnapshotRow(const PlatformResult& result, ControlContext& context);
    void onSnapshotObject(const PlatformResult& result, ControlContext& context);
    /** Applies scanned notes. @return whether the read reached the end of the table's notes. */
    bool onNotesScanned(const PlatformResult& result, ControlContext& context);

    /** Applies a note if it produces the next version. */
    void applyAcceptedNote(ReleaseVersion version, const ReleaseNote& note, ControlContext& context);

    /** Replaces the configuration with a peer's if that is newer. */
    void applyPeerFleet(const Fleet& copy, ControlContext& context);

    /** Applies a peer's note if it produces the next version. */
    void applyPeerNote(const NoteDelivery& delivery, ControlContext& context);

private:
    enum class Stage : std::uint8_t {
        LookingUpSnapshot,
        LoadingSnapshot,
        ReadingNotes,
    };

    void startRead(ControlContext& context);
    /**
     * Replaces the configuration if the given one is newer. Does not notify the router.
     * @param note the note that turned the previous version into this one, if known.
     */
    void replaceFleet(Fleet fleet, std::optional<NoteDelivery> note);
    /** Sends the configuration to the router unless this version was sent before. */
    void notifyRouter(ControlContext& context);
    /** Handles a read that the table did not answer. */
    void onReadFailed(ControlContext& context);
    bool applyRow(const TableRecord& row, ControlContext& context);
    void recordPeerFleet(Instant now);
    void acceptPeerVersionIfDue(const ControlContext& context);

    Fleet current;
    /** The note that produced the current version; empty when the version arrived as a full configuration. */
    std::optional<NoteDelivery> newestNote;
    ReleaseVersion notifiedVersion;
    Stage stage { Stage::LookingUpSnapshot };
    std::string snapshotVersion;
    bool reading { false };
    bool confirmed { false };
    bool tableFailed { false };
    bool peerVersionAccepted { false };
    std::optional<Instant> firstPeerFleetAt;
};

}
