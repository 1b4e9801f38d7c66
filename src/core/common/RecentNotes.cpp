#include "core/common/RecentNotes.h"

#include <algorithm>

namespace teaselfold {

namespace {

    constexpr std::size_t maximumNotes = 64;

}

void RecentNotes::add(const NoteDelivery& note)
{
    if (!this->notes.empty() && note.version.get() != this->notes.back().version.get() + 1)
        this->notes.clear();
    this->notes.push_back(note);
    if (this->notes.size() > maximumNotes)
        this->notes.pop_front();
}

std::vector<NoteDelivery> RecentNotes::notesAfter(ReleaseVersion version) const
{
    const auto first = std::find_if(this->notes.begin(), this->notes.end(),
        [&](const NoteDelivery& note) { return note.version.get() == version.get() + 1; });
    return { first, this->notes.end() };
}

}
