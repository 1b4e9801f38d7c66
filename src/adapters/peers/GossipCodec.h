#pragma once

#include "ports/PeerMessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace teaselfold {

/** @return the message as one datagram. Endpoints with the fewest tokens are left out if not all fit. */
std::string encodeGossip(const GossipMessage& gossip);

/** @return the message, or nothing when the datagram is malformed. */
std::optional<GossipMessage> decodeGossip(std::string_view datagram);

}
