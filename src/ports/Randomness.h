#pragma once

#include <cstdint>

namespace teaselfold {

/** A source of random numbers: seeded in tests and emulations, the system's otherwise. */
class Randomness {
public:
    virtual ~Randomness() = default;
    /** @return 64 uniformly distributed bits. */
    virtual std::uint64_t next() = 0;
};

}
