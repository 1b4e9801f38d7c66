#include "emulator/OutputLengths.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace teaselfold {

std::uint32_t drawLength(const LengthMix& mix, SeededRandomness& random)
{
    double point = random.uniform();
    const LengthComponent* chosen = &mix.components.back();
    for (const LengthComponent& component : mix.components) {
        point -= component.share;
        if (point >= 0)
            continue;
        chosen = &component;
        break;
    }
    const double length = chosen->medianTokens * std::exp(chosen->sigma * random.normal());
    return static_cast<std::uint32_t>(std::clamp(length, 1.0, static_cast<double>(mix.longestTokens)));
}

std::optional<std::uint32_t> lengthFromPrompt(const std::string& prompt)
{
    constexpr std::string_view mark = "len=";
    const std::size_t place = prompt.find(mark);
    if (place == std::string::npos)
        return std::nullopt;
    std::uint32_t length = 0;
    const char* begin = prompt.data() + place + mark.size();
    const auto parsed = std::from_chars(begin, prompt.data() + prompt.size(), length);
    if (parsed.ec != std::errc {} || length == 0)
        return std::nullopt;
    return length;
}

}
