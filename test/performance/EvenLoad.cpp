#include "support/LoadModel.h"

#include <array>
#include <cstdio>

using namespace teaselfold;

namespace {

void printRow(const char* name, const LoadModelParameters& parameters)
{
    const LoadModelResult result = runLoadModel(parameters);
    std::printf("%-8s %-12s %8zu %10.2f %14.2f %15.2f %12lld %11lld\n", parameters.isEngine ? "engines" : "plain", name,
        parameters.gateways, parameters.utilization, result.busiestToMean, result.overrunFraction,
        static_cast<long long>(result.meanWait.count()), static_cast<long long>(result.p99Wait.count()));
}

}

/** Prints how even the load of endpoints is with the product's choice and with simple ones. */
int main()
{
    constexpr std::array gatewayCounts { std::size_t { 1 }, std::size_t { 26 }, std::size_t { 45 },
        std::size_t { 300 } };
    std::printf("service  choice       gateways       load  busiest/mean  overrun beside  mean wait ms  p99 wait ms\n");
    for (const bool isEngine : { true, false }) {
        for (const std::size_t gateways : gatewayCounts) {
            LoadModelParameters parameters;
            parameters.gateways = gateways;
            parameters.isEngine = isEngine;
            parameters.endpoints = isEngine ? 50 : 5;
            parameters.policy = ModelPolicy::Random;
            printRow("random", parameters);
            parameters.policy = ModelPolicy::TwoChoices;
            printRow("two choices", parameters);
            parameters.policy = ModelPolicy::Product;
            printRow("product", parameters);
        }
    }
    return 0;
}
