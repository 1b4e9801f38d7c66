#pragma once

#include "ports/PeerMessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace teaselfold {

/** @return the message as one datagram. If not all fit, the endpoints with the fewest tokens and the last suspects are
 * left out. */
std::string encodeGossip(const GossipMessage& gossip);

/** @return the message, or nothing when the datagram is malformed. */
std::optional<GossipMessage> decodeGossip(std::string_view datagram);

}
