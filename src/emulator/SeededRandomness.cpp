#include "emulator/SeededRandomness.h"

#include <cmath>
#include <numbers>

namespace teaselfold {

double SeededRandomness::uniform()
{
    constexpr int mantissaBits = 53;
    return std::ldexp(static_cast<double>(this->next() >> (64 - mantissaBits)), -mantissaBits);
}

double SeededRandomness::normal()
{
    const double radius = std::sqrt(2 * this->exponential());
    return radius * std::cos(2 * std::numbers::pi * this->uniform());
}

double SeededRandomness::exponential() { return -std::log(1 - this->uniform()); }

}
