#pragma once

#include "ports/Randomness.h"

#include <random>

namespace teaselfold {

/** Random numbers from the operating system. Not thread-safe: each thread needs its own object. */
class SystemRandomness final : public Randomness {
public:
    std::uint64_t next() override
    {
        const std::uint64_t high = this->device();
        return (high << wordBits) | this->device();
    }

private:
    static constexpr int wordBits = 32;
    std::random_device device;
};

}
