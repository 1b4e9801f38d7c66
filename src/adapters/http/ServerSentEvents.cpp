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

    std::string eventId(const ResumeToken& token, const std::string& index)
    {
        return "id: " + token.endpoint.get() + ":" + encodeGeneration(token.generation) + ":" + index + "\n";
    }

    template <typename Number> bool readNumber(std::string_view text, int base, Number& number)
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
        events += eventId(tokens.token, std::to_string(index));
        events += "data: " + encodeTokenData(tokens.token.generation, index, text) + "\n\n";
        ++index;
    }
    return events;
}

std::string encodeRestartEvent(const CallerRestart& restart)
{
    return "event: restart\n" + eventId(restart.token, "") + "data: {\"generation\":\""
        + encodeGeneration(restart.token.generation) + "\"}\n\n";
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
    const auto second = text.rfind(':');
    if (second == std::string::npos || second == 0)
        return std::nullopt;
    const auto first = text.rfind(':', second - 1);
    if (first == std::string::npos || first == 0)
        return std::nullopt;
    const std::string_view view(text);
    std::uint64_t generation = 0;
    if (!readNumber(view.substr(first + 1, second - first - 1), hexBase, generation))
        return std::nullopt;
    StreamPosition position { { EndpointId(text.substr(0, first)), GenerationId(generation) }, 0 };
    const std::string_view indexText = view.substr(second + 1);
    if (indexText.empty())
        return position;
    std::uint32_t index = 0;
    if (!readNumber(indexText, decimalBase, index) || index == std::numeric_limits<std::uint32_t>::max())
        return std::nullopt;
    position.nextIndex = index + 1;
    return position;
}

}
