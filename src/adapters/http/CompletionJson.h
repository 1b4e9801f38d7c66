#pragma once

#include "ports/CallerMessages.h"

#include <string>

namespace teaselfold {

/**
 * Decodes the body of `POST /v1/completions`.
 * @return the request without id, team and budget, or a BadRequest that names the invalid field.
 */
Outcome<CompletionRequest> decodeCompletionRequest(const std::string& body);

/** @return the response body of a completion that is not streamed. */
std::string encodeCompletion(RequestId request, const ModelId& model, const CallerCompletion& completion);

/** @return the data of the server-sent event for one token. */
std::string encodeTokenData(GenerationId generation, std::uint32_t index, const std::string& text);

/** @return the data of the server-sent event with the token count and the finish reason. */
std::string encodeFinishData(const CallerFinished& finished);

/** @return the generation id in hexadecimal. */
std::string encodeGenerationId(GenerationId generation);

}
