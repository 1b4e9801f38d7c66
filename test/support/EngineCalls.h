#pragma once

#include "ports/EngineMessages.h"

namespace teaselfold {

/**
 * Starts one generation at an engine.
 * @return the first event of the generation; fails the test when there is none within ten seconds.
 */
EngineEvent startAtEngine(const Address& engine);

}
