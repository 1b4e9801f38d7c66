#pragma once

#include "ports/EngineMessages.h"

namespace teaselfold {

/**
 * Starts one generation at an engine.
 * @return the first event of the generation; fails the test when there is none within ten seconds.
 */
EngineEvent startAtEngine(const Address& engine);

/**
 * Starts one generation of 100 tokens at an engine.
 * @return the last event of its stream; fails the test when the stream does not end within 30 seconds.
 */
EngineEvent lastEventOfStart(const Address& engine);

}
