#pragma once

#include <algorithm>
#include <string_view>

namespace teaselfold {

/**
 * @return true if the text may be written as the value of a header field. A control character could end the line, and
 * what follows it would be read as further fields or messages.
 */
inline bool isHeaderValue(std::string_view text)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    return std::none_of(text.begin(), text.end(), [](char character) {
        const auto code = static_cast<unsigned char>(character);
        return (code < firstPrintable && character != '\t') || code == deleteCharacter;
    });
}

}
