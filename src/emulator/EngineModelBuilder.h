#pragma once

#include "emulator/EngineModel.h"

#include <utility>

namespace teaselfold {

/** Builds an EngineModel. Unset values keep the defaults of EngineSettings. */
class EngineModelBuilder {
public:
    EngineModelBuilder& settings(EngineSettings value)
    {
        this->values = std::move(value);
        return *this;
    }
    EngineModelBuilder& seed(std::uint64_t value)
    {
        this->values.seed = value;
        return *this;
    }
    EngineModelBuilder& speed(double value)
    {
        this->values.speed = value;
        return *this;
    }
    EngineModelBuilder& blocks(std::uint64_t value)
    {
        this->values.blocks = value;
        return *this;
    }
    EngineModelBuilder& maxBatch(std::uint32_t value)
    {
        this->values.maxBatch = value;
        return *this;
    }
    EngineModelBuilder& coldStartDuration(Duration value)
    {
        this->values.coldStartDuration = value;
        return *this;
    }
    EngineModelBuilder& checksFencing(bool value)
    {
        this->values.checksFencing = value;
        return *this;
    }
    /** @param now the start time of the engine in model time. */
    EngineModel build(Instant now) const { return EngineModel(this->values, now); }

private:
    EngineSettings values;
};

}
