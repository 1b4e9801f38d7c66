#pragma once

#include "core/control/ControlContext.h"

namespace teaselfold {

/**
 * Holds the configuration in force, reads it at start and follows the accepted notes. Its version never falls, and what
 * a read passes through on its way to the newest version is not put in force.
 */
class FleetReplica {
public:
    const Fleet& fleet() const { return this->current; }

    /** @return whether a configuration from the table, or in an outage the highest of the peers, is in force. */
    bool isReady() const;

    /** @return whether the table was read to its end since the start of the process. */
    bool isConfirmed() const { return this->confirmed; }

    /** Starts the next read unless one is under way. */
    void poll(ControlContext& context);

    /** Starts the next read even when one is under way, whose result may be from before a pause. */
    void refresh(ControlContext& context);

    void onSnapshotRow(const PlatformResult& result, ControlContext& context);
    void onSnapshotObject(const PlatformResult& result, ControlContext& context);
    /** @return whether the read reached the end of the table's notes. */
    bool onNotes(const PlatformResult& result, ControlContext& context);

    /** Takes a note in when it is the next one. */
    void applyAcceptedNote(ReleaseVersion version, const ReleaseNote& note, ControlContext& context);

    /** Takes a peer's configuration in when it is newer. */
    void applyPeerFleet(const Fleet& copy, ControlContext& context);

    /** Takes a peer's note in when it is the next one. */
    void applyPeerNote(const NoteDelivery& delivery, ControlContext& context);

private:
    enum class Stage : std::uint8_t {
        LookingUpSnapshot,
        LoadingSnapshot,
        ReadingNotes,
    };

    void startRead(ControlContext& context);
    /**
     * Takes a newer configuration in without telling the router.
     * @param note the note that leads to it from the version before, if one does.
     */
    void replaceFleet(Fleet fleet, std::optional<NoteDelivery> note);
    /** Puts the configuration in force unless it is already. */
    void notifyRouter(ControlContext& context);
    /** Ends a read that the table did not answer. */
    void onReadFailed(ControlContext& context);
    bool applyRow(const TableRecord& row, ControlContext& context);
    void recordPeerFleet(Instant now);
    void acceptPeerVersionIfDue(const ControlContext& context);

    Fleet current;
    /** The note that made the newest version, when it came as a note. */
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
