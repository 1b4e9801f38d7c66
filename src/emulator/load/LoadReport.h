#pragma once

#include "emulator/load/LoadRun.h"

#include <ostream>

namespace teaselfold {

/** Writes a run's figures as a table for people. */
void writeText(std::ostream& out, const LoadResult& result);

/** Writes a run's figures as one JSON object; durations in milliseconds. */
void writeJson(std::ostream& out, const LoadResult& result);

/** @return true when no answer was lost or doubled. */
bool allAnswersIntact(const LoadResult& result);

}
