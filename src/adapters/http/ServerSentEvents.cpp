#include "adapters/http/ServerSentEvents.h"

#include "adapters/http/CompletionJson.h"
#include "adapters/http/ErrorBody.h"

#include <charconv>
#include <limits>
#include <string_view>

namespace teaselfold {

namespace {

    constexpr int decimalBase = 10;
    constexpr int hexBase = 16;

    std::string encodeEventId(const ResumeToken& token, const std::string& index)
    {
        return "id: " + token.endpoint.get() + ":" + encodeGenerationId(token.generation) + ":" + index + "\n";
    }

    template <typename Number> bool parseNumber(std::string_view text, int base, Number& number)
    {
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
        return error == std::errc() && end == text.data() + text.size();
    }

}

std::string encodeTokenEvents(const CallerTokens& tokens)
{
    std::string events;
    std::uint32_t index = tokens.firstIndex;
    for (const std::string& text : tokens.texts) {
        events += encodeEventId(tokens.token, std::to_string(index));
        events += "data: " + encodeTokenData(tokens.token.generation, index, text) + "\n\n";
        ++index;
    }
    return events;
}

std::string encodeRestartEvent(const CallerRestart& restart)
{
    return "event: restart\n" + encodeEventId(restart.token, "") + "data: {\"generation\":\""
        + encodeGenerationId(restart.token.generation) + "\"}\n\n";
}

std::string encodeFinishEvents(const CallerFinished& finished)
{
    return "data: " + encodeFinishData(finished) + "\n\ndata: [DONE]\n\n";
}

std::string encodeErrorEvent(const Failure& failure)
{
    return "event: error\ndata: " + encodeErrorBody(failure) + "\n\n";
}

std::optional<StreamPosition> decodeEventId(const std::string& text)
{
    const auto indexSeparator = text.rfind(':');
    if (indexSeparator == std::string::npos || indexSeparator == 0)
        return std::nullopt;
    const auto generationSeparator = text.rfind(':', indexSeparator - 1);
    if (generationSeparator == std::string::npos || generationSeparator == 0)
        return std::nullopt;
    const std::string_view view(text);
    std::uint64_t generation = 0;
    if (!parseNumber(
            view.substr(generationSeparator + 1, indexSeparator - generationSeparator - 1), hexBase, generation))
        return std::nullopt;
    StreamPosition position { { EndpointId(text.substr(0, generationSeparator)), GenerationId(generation) }, 0 };
    const std::string_view indexText = view.substr(indexSeparator + 1);
    if (indexText.empty())
        return position;
    std::uint32_t index = 0;
    if (!parseNumber(indexText, decimalBase, index) || index == std::numeric_limits<std::uint32_t>::max())
        return std::nullopt;
    position.nextIndex = index + 1;
    return position;
}

}
