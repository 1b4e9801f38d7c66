#include "support/LoadModel.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

LoadModelResult play(std::size_t gateways, bool isEngine, ModelPolicy policy)
{
    LoadModelParameters parameters;
    parameters.gateways = gateways;
    parameters.endpoints = isEngine ? 50 : 5;
    parameters.isEngine = isEngine;
    parameters.policy = policy;
    if (isEngine)
        parameters.duration = Milliseconds(10000);
    return runLoadModel(parameters);
}

}

// Guards against gateways that choose at the same moment with the same, late news and overrun engines in turns.
TEST_CASE("Prompts wait less than with two choices, although many gateways choose engines of different speed")
{
    for (const std::size_t gateways : { std::size_t { 1 }, std::size_t { 26 }, std::size_t { 45 } }) {
        CAPTURE(gateways);
        const LoadModelResult product = play(gateways, true, ModelPolicy::Product);
        const LoadModelResult twoChoices = play(gateways, true, ModelPolicy::TwoChoices);
        CHECK(product.meanWait < twoChoices.meanWait);
        CHECK(product.p99Wait < twoChoices.p99Wait);
        CHECK(product.overrunFraction < twoChoices.overrunFraction);
    }
}

TEST_CASE("Calls wait less than with a random choice, although the load reports of endpoints are late")
{
    for (const std::size_t gateways : { std::size_t { 1 }, std::size_t { 45 }, std::size_t { 300 } }) {
        CAPTURE(gateways);
        const LoadModelResult product = play(gateways, false, ModelPolicy::Product);
        const LoadModelResult random = play(gateways, false, ModelPolicy::Random);
        CHECK(product.meanWait < random.meanWait);
        CHECK(product.overrunFraction < random.overrunFraction);
    }
}

TEST_CASE("Gateways that are too many to tell all of them divide the engines and still know of each other's prompts")
{
    const LoadModelResult product = play(300, true, ModelPolicy::Product);
    const LoadModelResult twoChoices = play(300, true, ModelPolicy::TwoChoices);
    CHECK(product.meanWait < twoChoices.meanWait);
    CHECK(product.p99Wait < twoChoices.p99Wait);
}
