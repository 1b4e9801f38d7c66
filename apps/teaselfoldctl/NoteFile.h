#pragma once

#include "Options.h"

#include <optional>
#include <string>

namespace teaselfold::Ctl {

/** A release note as it is sent to the entry. */
struct NoteFile {
    std::string text;
    /** Configuration version that the note is based on. */
    std::uint64_t base { 0 };
};

/**
 * Reads the release note named in the options; author and reason of the command line override those of the file.
 * @return the note, or nullopt when the file cannot be read.
 */
std::optional<NoteFile> readNoteFile(const Options& options);

}
