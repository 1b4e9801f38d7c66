#pragma once

#include "adapters/http/AdminServer.h"

#include <string>
#include <vector>

namespace teaselfold::Internal {

/** @return the lower-case hexadecimal SHA-256 of a text. */
std::string sha256Hex(const std::string& text);

/**
 * Finds the token that a request carries. Takes the same time whichever token matches.
 * @param authorization the value of the Authorization header.
 * @param tokens the tokens that are accepted.
 * @return the token; null when there is none.
 */
const AdminToken* findToken(const std::string& authorization, const std::vector<AdminToken>& tokens);

}
