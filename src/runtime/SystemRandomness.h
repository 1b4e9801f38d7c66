#pragma once

#include "ports/Randomness.h"

#include <random>

namespace teaselfold {

/** Random numbers of the system. Each user keeps one of its own, since it is not safe for several threads. */
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
