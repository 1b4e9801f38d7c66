#pragma once

#include "adapters/http/AdminServer.h"

#include <string>
#include <vector>

namespace teaselfold::Internal {

/** @return the lower-case hexadecimal SHA-256 of a text. */
std::string sha256Hex(const std::string& text);

/**
 * Finds the accepted token that a request carries. The comparison takes the same time whichever token matches, so that
 * its duration reveals nothing about the hashes.
 * @param authorization the value of the Authorization header.
 * @param tokens the accepted tokens.
 * @return the matching token, or null if there is none.
 */
const OperatorToken* findToken(const std::string& authorization, const std::vector<OperatorToken>& tokens);

}
