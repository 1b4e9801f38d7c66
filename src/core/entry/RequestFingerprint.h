#pragma once

#include "ports/GatewayMessages.h"
#include "ports/LinkMessages.h"

#include <string_view>

namespace teaselfold {

/** @return the hash of all that decides what an engine does with the work; the same at every entry. */
Fingerprint fingerprintOf(const CompletionWork& work);

/** @return the hash of the call's content without its key; the same at every entry. */
Fingerprint fingerprintOf(const ServiceWork& work);

/** @return the hash of what a repeated request has in common: its path, key and body. */
Fingerprint fingerprintOf(const GatewayRequest& request, std::string_view body);

}
