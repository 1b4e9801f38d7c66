#include "emulator/experiment/AdmissionExperiment.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <future>
#include <iostream>
#include <map>
#include <string>
#include <vector>

using namespace teaselfold;
namespace options = boost::program_options;

namespace {

const std::array policies { "conditional", "unlimited", "fixed-slots", "reserve-max" };
const std::array loads { 0.8, 1.0, 1.3 };
const TeamId smallTeam { "small-1" };
constexpr double smallTeamShare = 0.04;

struct Options {
    std::uint64_t seeds { 3 };
    std::int64_t seconds { 300 };
    std::uint32_t jobs { 3 };
};

/** One measured column: its title and how a run yields it. */
struct Column {
    const char* title;
    double (*value)(const ExperimentResult&);
};

double milliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

double perThousand(std::uint64_t part, const Tally& tally)
{
    return tally.sent == 0 ? 0 : 1000.0 * static_cast<double>(part) / static_cast<double>(tally.sent);
}

double betweenTokens(const ExperimentResult& run, double share)
{
    return milliseconds(run.record.whole().betweenTokens.quantile(share));
}

const std::array columns {
    Column { "preempt/1000", [](const ExperimentResult& run) { return run.preemptionsPerThousand(); } },
    Column { "p50 ms", [](const ExperimentResult& run) { return betweenTokens(run, 0.5); } },
    Column { "p95 ms", [](const ExperimentResult& run) { return betweenTokens(run, 0.95); } },
    Column { "p99 ms", [](const ExperimentResult& run) { return betweenTokens(run, 0.99); } },
    Column { "p99.9 ms", [](const ExperimentResult& run) { return betweenTokens(run, 0.999); } },
    Column { "stall s", [](const ExperimentResult& run) { return milliseconds(run.record.whole().stall) / 1000; } },
    Column { "ttft p95 ms",
        [](const ExperimentResult& run) { return milliseconds(run.record.whole().firstToken.quantile(0.95)); } },
    Column { "on time/1000",
        [](const ExperimentResult& run) { return perThousand(run.record.whole().onTime, run.record.whole()); } },
    Column { "refused/1000",
        [](const ExperimentResult& run) { return perThousand(run.record.whole().refused, run.record.whole()); } },
    Column { "failed/1000",
        [](const ExperimentResult& run) { return perThousand(run.record.whole().failed, run.record.whole()); } },
    Column { "lost", [](const ExperimentResult& run) { return static_cast<double>(run.record.whole().lost); } },
    Column { "doubled", [](const ExperimentResult& run) { return static_cast<double>(run.record.whole().doubled); } },
};

ExperimentSettings settingsFor(const Options& chosen, std::uint64_t seed, const std::string& policy)
{
    ExperimentSettings settings;
    settings.engine.seed = seed;
    settings.engine.maxWaiting = 100000;
    settings.workload.seed = seed;
    settings.workload.length = Seconds(chosen.seconds);
    settings.workload.kinds = defaultKinds();
    settings.workload.teams = defaultTeams();
    settings.policy.admission = policy;
    return settings;
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

/** Runs all settings, a few at once. */
std::vector<ExperimentResult> runAll(const std::vector<ExperimentSettings>& all, std::uint32_t jobs)
{
    std::vector<ExperimentResult> results;
    for (std::size_t begin = 0; begin < all.size(); begin += jobs) {
        std::vector<std::future<ExperimentResult>> running;
        for (std::size_t place = begin; place < std::min(all.size(), begin + jobs); ++place)
            running.push_back(
                std::async(std::launch::async, [&all, place] { return runAdmissionExperiment(all[place]); }));
        for (auto& one : running)
            results.push_back(one.get());
    }
    return results;
}

void printHeader()
{
    std::printf("%-6s %-12s", "load", "policy");
    for (const Column& column : columns)
        std::printf(" %22s", column.title);
    std::printf("\n");
}

void printRow(double load, const char* policy, const std::vector<ExperimentResult>& results)
{
    std::printf("%-6.1f %-12s", load, policy);
    for (const Column& column : columns) {
        std::vector<double> values;
        for (const ExperimentResult& result : results)
            values.push_back(column.value(result));
        std::printf(" %8.1f [%5.1f %6.1f]", median(values), *std::min_element(values.begin(), values.end()),
            *std::max_element(values.begin(), values.end()));
    }
    std::printf("\n");
    std::fflush(stdout);
}

void printRefusals(double load, const char* policy, const std::vector<ExperimentResult>& results)
{
    std::map<ErrorCode, std::uint64_t> reasons;
    for (const ExperimentResult& result : results) {
        for (const auto& [code, count] : result.refusals)
            reasons[code] += count;
    }
    for (const auto& [code, count] : reasons)
        std::printf("%-6.1f %-12s refused, all seeds: %s %llu\n", load, policy, std::string(codeName(code)).c_str(),
            static_cast<unsigned long long>(count));
}

void comparePolicies(const Options& chosen, double capacity)
{
    printHeader();
    for (const double load : loads) {
        for (const char* policy : policies) {
            std::vector<ExperimentSettings> all;
            for (std::uint64_t seed = 1; seed <= chosen.seeds; ++seed) {
                all.push_back(settingsFor(chosen, seed, policy));
                all.back().workload.requestsPerSecond = load * capacity;
            }
            const auto results = runAll(all, chosen.jobs);
            printRow(load, policy, results);
            printRefusals(load, policy, results);
        }
    }
}

/** A small team alone, and the same team beside one that sends 1.3 times the capacity. */
void compareFlood(const Options& chosen, double capacity)
{
    std::printf("\nsmall team: p95 between tokens and p95 to first token, alone and beside a flooding team\n");
    for (const char* policy : policies) {
        for (std::uint64_t seed = 1; seed <= chosen.seeds; ++seed) {
            ExperimentSettings alone = settingsFor(chosen, seed, policy);
            alone.workload.teams = { { smallTeam, 1 } };
            alone.workload.requestsPerSecond = smallTeamShare * capacity;
            ExperimentSettings beside = settingsFor(chosen, seed, policy);
            beside.workload.teams = { { smallTeam, smallTeamShare }, { TeamId("flooding"), 1.3 } };
            beside.workload.requestsPerSecond = (smallTeamShare + 1.3) * capacity;
            const auto results = runAll({ alone, beside }, chosen.jobs);
            const Tally& first = results[0].record.byTeam().at(smallTeam);
            const Tally& second = results[1].record.byTeam().at(smallTeam);
            std::printf("%-12s seed %llu: between %.1f -> %.1f ms, first token %.0f -> %.0f ms, on time %llu/%llu -> "
                        "%llu/%llu\n",
                policy, static_cast<unsigned long long>(seed), milliseconds(first.betweenTokens.quantile(0.95)),
                milliseconds(second.betweenTokens.quantile(0.95)), milliseconds(first.firstToken.quantile(0.95)),
                milliseconds(second.firstToken.quantile(0.95)), static_cast<unsigned long long>(first.onTime),
                static_cast<unsigned long long>(first.sent), static_cast<unsigned long long>(second.onTime),
                static_cast<unsigned long long>(second.sent));
        }
    }
}

}

int main(int argc, char** argv)
{
    Options chosen;
    options::options_description description("admission policies before one emulated engine");
    auto add = description.add_options();
    add("help", "show this text and exit");
    add("seeds", options::value(&chosen.seeds)->default_value(chosen.seeds), "runs of each row");
    add("seconds", options::value(&chosen.seconds)->default_value(chosen.seconds), "arrivals, in the engine's time");
    add("jobs", options::value(&chosen.jobs)->default_value(chosen.jobs), "runs at once");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << error.what() << "\n" << description;
        return 2;
    }
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    const ExperimentSettings base = settingsFor(chosen, 1, "conditional");
    const double capacity = measureCapacity(base.engine, base.workload);
    std::printf("capacity: %.2f requests/s (admission by true lengths, engine always busy)\n", capacity);
    std::printf("each cell: median [least greatest] over %llu seeds of %lld s\n\n",
        static_cast<unsigned long long>(chosen.seeds), static_cast<long long>(chosen.seconds));
    comparePolicies(chosen, capacity);
    compareFlood(chosen, capacity);
    return 0;
}
