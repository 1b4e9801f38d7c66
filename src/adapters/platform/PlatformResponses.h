#pragma once

#include "ports/PlatformMessages.h"

#include <string>

namespace teaselfold::Internal {

// Readers of the platform's JSON answers. An answer that is not in the agreed form gives PlatformUnavailable.

/** @param body a row or an empty object. @param key the key that was asked for. */
PlatformResult parseConflict(const std::string& body, const std::string& key);
/** @param body a row. @param key the key that was asked for. */
PlatformResult parseRow(const std::string& body, const std::string& key);
/** @param body an object with the list `rows`. */
PlatformResult parseRows(const std::string& body);
/** @param body an object with the list `instances`. */
PlatformResult parseInstances(const std::string& body);
/** @param entityTag a row's version in quotes. */
PlatformResult parseEntityTag(const std::string& entityTag);

}
