#pragma once

#include "ports/GatewayMessages.h"
#include "ports/LinkMessages.h"

#include <string_view>

namespace teaselfold {

/** @return the hash of the fields that determine what an engine does; the same at every entry. */
Fingerprint fingerprintOf(const CompletionWork& work);

/** @return the hash of the call's content without its idempotency key; the same at every entry. */
Fingerprint fingerprintOf(const ServiceWork& work);

/** @return the hash of the parts that a repeated request shares: its path, idempotency key and body. */
Fingerprint fingerprintOf(const GatewayRequest& request, std::string_view body);

}
