#pragma once

#include <cstdint>
#include <string>

namespace teaselfold {

/** @return the number as 16 hexadecimal digits, with leading zeros. */
std::string hexText(std::uint64_t number);

}
