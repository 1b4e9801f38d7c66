#pragma once

#include "ports/LinkMessages.h"

#include <deque>
#include <vector>

namespace teaselfold {

/** A bounded buffer of consecutive accepted notes, for peers that are a few versions behind. */
class RecentNotes {
public:
    /** Appends a note. Clears the buffer first when the note's version does not follow the last one. */
    void add(const NoteDelivery& note);
    void clear() { this->notes.clear(); }
    /** @return all notes after the given version; empty when the buffer does not contain the next one. */
    std::vector<NoteDelivery> notesAfter(ReleaseVersion version) const;

private:
    std::deque<NoteDelivery> notes;
};

}
