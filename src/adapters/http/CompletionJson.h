#pragma once

#include "ports/CallerMessages.h"

#include <string>

namespace teaselfold {

/**
 * Reads the body of `POST /v1/completions`.
 * @return the request without id, team and budget; or a BadRequest that names the field.
 */
Outcome<CompletionRequest> decodeCompletionRequest(const std::string& body);

/** @return the body of a whole answer. */
std::string encodeCompletion(RequestId request, const ModelId& model, const CallerCompletion& completion);

/** @return the data of one token's event. */
std::string encodeTokenData(GenerationId generation, std::uint32_t index, const std::string& text);

/** @return the data of the event that tells why the stream ended. */
std::string encodeFinishData(const CallerFinished& finished);

/** @return a generation id in hexadecimal. */
std::string encodeGeneration(GenerationId generation);

}
