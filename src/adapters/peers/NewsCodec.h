#pragma once

#include "ports/PeerMessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace teaselfold {

/** @return the news as one datagram. What does not fit is left out, the endpoints with the least work first. */
std::string encodeNews(const GossipMessage& news);

/** @return the news, or nothing when the bytes are none. */
std::optional<GossipMessage> decodeNews(std::string_view datagram);

}
