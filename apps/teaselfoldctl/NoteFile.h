#pragma once

#include "Options.h"

#include <optional>
#include <string>

namespace teaselfold::Ctl {

/** A note's text as it is sent. */
struct NoteFile {
    std::string text;
    std::uint64_t base { 0 };
};

/** Reads the note that the options name, with author and reason of the command line. @return nothing when it cannot. */
std::optional<NoteFile> readNoteFile(const Options& options);

}
