#pragma once

#include "ports/PlatformMessages.h"

#include <string>

namespace teaselfold::Internal {

// Parsers of the platform's responses. A malformed response results in PlatformUnavailable.

/** @param body a row or an empty object. @param key the requested key; a row with another key is malformed. */
PlatformResult parseConflict(const std::string& body, const std::string& key);
/** @param body a row. @param key the requested key; a row with another key is malformed. */
PlatformResult parseRow(const std::string& body, const std::string& key);
/** @param body an object with the list `rows`. */
PlatformResult parseRows(const std::string& body);
/** @param body an object with the list `instances`; an element in another form is left out. */
PlatformResult parseInstances(const std::string& body);
/** @param entityTag the value of an ETag header: a row's version in quotes. */
PlatformResult parseEntityTag(const std::string& entityTag);

}
