#pragma once

#include "ports/LinkMessages.h"

#include <deque>
#include <vector>

namespace teaselfold {

/** The newest accepted notes in sequence, for peers that are a few versions behind. Bounded. */
class RecentNotes {
public:
    /** Adds the note of the next version. One that does not follow the last makes the earlier ones forgotten. */
    void add(const NoteDelivery& note);
    void clear() { this->notes.clear(); }
    /** @return the notes that lead on from a version to the newest; empty when one of them is not known. */
    std::vector<NoteDelivery> after(ReleaseVersion version) const;

private:
    std::deque<NoteDelivery> notes;
};

}
