#pragma once

#include "ports/StoreReadings.h"

#include <optional>
#include <string>
#include <string_view>

namespace teaselfold {

/** @return the announcement as one datagram. Changes that do not fit are left out, so receivers read them themselves.
 */
std::string encodeReading(const StoreReading& reading);

/** @return the announcement, or nothing when the datagram is malformed. */
std::optional<StoreReading> decodeReading(std::string_view datagram);

}
