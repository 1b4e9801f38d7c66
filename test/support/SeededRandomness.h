#pragma once

#include "ports/Randomness.h"

#include <random>

namespace teaselfold::testing {

/** A deterministic random source: equal seeds give equal sequences. */
class SeededRandomness : public Randomness {
public:
    explicit SeededRandomness(std::uint64_t seed)
        : engine(seed)
    {
    }

    std::uint64_t next() override { return this->engine(); }

private:
    std::mt19937_64 engine;
};

}
