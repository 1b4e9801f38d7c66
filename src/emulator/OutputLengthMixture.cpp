#include "emulator/OutputLengthMixture.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace teaselfold {

std::uint32_t sampleOutputLength(const OutputLengthMixture& mixture, SeededRandomness& random)
{
    double remainder = random.uniform();
    const OutputLengthComponent* chosen = &mixture.components.back();
    for (const OutputLengthComponent& component : mixture.components) {
        remainder -= component.share;
        if (remainder >= 0)
            continue;
        chosen = &component;
        break;
    }
    const double length = chosen->medianTokens * std::exp(chosen->sigma * random.normal());
    return static_cast<std::uint32_t>(std::clamp(length, 1.0, static_cast<double>(mixture.maxLengthTokens)));
}

std::optional<std::uint32_t> outputLengthFromPrompt(const std::string& prompt)
{
    constexpr std::string_view marker = "len=";
    const std::size_t position = prompt.find(marker);
    if (position == std::string::npos)
        return std::nullopt;
    std::uint32_t length = 0;
    const char* begin = prompt.data() + position + marker.size();
    const auto parsed = std::from_chars(begin, prompt.data() + prompt.size(), length);
    if (parsed.ec != std::errc {} || length == 0)
        return std::nullopt;
    return length;
}

}
