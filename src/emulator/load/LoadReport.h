#pragma once

#include "emulator/load/LoadRun.h"

#include <ostream>

namespace teaselfold {

/** Writes the figures of a run as a table. */
void writeText(std::ostream& out, const LoadResult& result);

/** Writes the figures of a run as one JSON object; durations are in milliseconds. */
void writeJson(std::ostream& out, const LoadResult& result);

/** @return true if no answer was lost or corrupt. */
bool allAnswersIntact(const LoadResult& result);

}
