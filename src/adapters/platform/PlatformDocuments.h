#pragma once

#include "ports/PlatformMessages.h"

#include <string>

namespace teaselfold::Internal {

// Readers of the platform's JSON answers. An answer that is not in the agreed form gives PlatformUnavailable.

/** @param body a row or an empty object. @param key the key that was asked for. */
PlatformResult readConflict(const std::string& body, const std::string& key);
/** @param body a row. @param key the key that was asked for. */
PlatformResult readRow(const std::string& body, const std::string& key);
/** @param body an object with the list `rows`. */
PlatformResult readRows(const std::string& body);
/** @param body an object with the list `instances`. */
PlatformResult readInstances(const std::string& body);
/** @param entityTag a row's version in quotes. */
PlatformResult readEntityTag(const std::string& entityTag);

}
