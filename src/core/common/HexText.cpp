#include "core/common/HexText.h"

#include <array>
#include <cstdio>

namespace teaselfold {

std::string hexText(std::uint64_t number)
{
    constexpr std::size_t digits = 16;
    std::array<char, digits + 1> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
    return text.data();
}

}
