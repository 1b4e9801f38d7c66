#pragma once

#include "core/gateway/EndpointPicker.h"
#include "core/gateway/GossipComposer.h"
#include "emulator/SeededRandomness.h"

#include <deque>
#include <string>
#include <vector>

namespace teaselfold {

/** How the gateways of a model choose. */
enum class ModelPolicy : std::uint8_t {
    /** With the product's picker for the service. */
    Product,
    Random,
    /** The one of two random endpoints that has less to do according to what the gateway knows. */
    TwoChoices,
};

struct LoadModelParameters {
    std::size_t gateways { 1 };
    std::size_t endpoints { 50 };
    /** Engines read one prompt after another; plain endpoints work on as many requests as they have slots. */
    bool isEngine { true };
    /** Fraction of the endpoints' capacity that requests need on average. They come in bursts of twice the rate. */
    double utilization { 0.6 };
    ModelPolicy policy { ModelPolicy::Product };
    std::uint64_t seed { 1 };
    Milliseconds duration { 30000 };
};

struct LoadModelResult {
    /** Busy time of the busiest endpoint relative to the mean. */
    double busiestToMean { 0 };
    /** Fraction of time in which one endpoint has a queue while another one has nothing to do. */
    double overrunFraction { 0 };
    Milliseconds meanWait { 0 };
    Milliseconds p99Wait { 0 };
};

/**
 * Gateways that choose among endpoints of different and changing speed with the product's decision code, its gossip and
 * its limit on the bytes of gossip, in simulated time and without a network.
 */
LoadModelResult runLoadModel(const LoadModelParameters& parameters);

}
