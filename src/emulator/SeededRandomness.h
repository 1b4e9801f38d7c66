#pragma once

#include "ports/Randomness.h"

#include <cstdint>
#include <random>

namespace teaselfold {

/** Pseudorandom number generator that returns the same sequence for the same seed. */
class SeededRandomness : public Randomness {
public:
    explicit SeededRandomness(std::uint64_t seed)
        : generator(seed)
    {
    }

    std::uint64_t next() override { return this->generator(); }

    /** @return a uniformly distributed number in [0, 1). */
    double uniform();

    /** @return a normally distributed number with mean 0 and standard deviation 1, by the Box-Muller transform (1958).
     */
    double normal();

    /** @return an exponentially distributed number with mean 1. */
    double exponential();

private:
    std::mt19937_64 generator;
};

}
