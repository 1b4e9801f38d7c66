#pragma once

#include "ports/LinkMessages.h"

namespace teaselfold {

/** @return the hash of all that decides what an engine does with the work; the same at every entry. */
Fingerprint fingerprintOf(const CompletionWork& work);

/** @return the hash of the call's content without its key; the same at every entry. */
Fingerprint fingerprintOf(const ServiceWork& work);

}
