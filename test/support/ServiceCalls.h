#pragma once

#include "ports/EngineMessages.h"

namespace teaselfold {

/** Sends one call to a plain service. @return how it ended; fails the test when it does not end within ten seconds. */
ServiceEvent callService(const Address& service);

}
