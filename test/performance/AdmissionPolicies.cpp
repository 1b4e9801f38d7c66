#include "emulator/experiment/MixedEngines.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <future>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace teaselfold;
namespace options = boost::program_options;

namespace {

const std::array loads { 0.8, 1.0, 1.3 };
const TeamId smallTeam { "small-1" };
const TeamId floodingTeam { "flooding" };
constexpr double smallTeamShare = 0.04;
constexpr double floodShare = 1.3;

struct Options {
    std::uint64_t seeds { 3 };
    std::int64_t seconds { 600 };
    std::uint32_t jobs { 3 };
    std::string only;
    bool skipFlood { false };
    bool onlyAblations { false };
    bool onlyFlood { false };
};

/** An admission policy or an ablation of one, given by its change to the settings. */
struct Variant {
    const char* name;
    void (*change)(ExperimentSettings&);
};

using Runs = std::vector<AggregateResult>;

double milliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

double perThousand(std::uint64_t part, const Tally& tally)
{
    return tally.sent == 0 ? 0 : 1000.0 * static_cast<double>(part) / static_cast<double>(tally.sent);
}

/** A column of the results: its title and its value for one run. */
struct Column {
    const char* title;
    double (*value)(const AggregateResult&);
};

const std::array columns {
    Column { "preempt/1000", [](const AggregateResult& run) { return run.preemptionsPerThousand(); } },
    Column {
        "p95 ms", [](const AggregateResult& run) { return milliseconds(run.total.interTokenLatency.quantile(0.95)); } },
    Column {
        "p99 ms", [](const AggregateResult& run) { return milliseconds(run.total.interTokenLatency.quantile(0.99)); } },
    Column { "p99.9 ms",
        [](const AggregateResult& run) { return milliseconds(run.total.interTokenLatency.quantile(0.999)); } },
    Column { "stall s", [](const AggregateResult& run) { return milliseconds(run.total.stall) / 1000; } },
    Column { "on time/1000", [](const AggregateResult& run) { return perThousand(run.total.onTime, run.total); } },
    Column { "refused/1000", [](const AggregateResult& run) { return perThousand(run.total.refused, run.total); } },
    Column { "failed/1000", [](const AggregateResult& run) { return perThousand(run.total.failed, run.total); } },
    Column { "lost+doubled", [](const AggregateResult& run) { return double(run.total.lost + run.total.corrupt); } },
};

/** A column of the results of one class or team. */
struct TallyColumn {
    const char* title;
    double (*value)(const Tally&);
};

const std::array classColumns {
    TallyColumn { "on time/1000", [](const Tally& tally) { return perThousand(tally.onTime, tally); } },
    TallyColumn { "refused/1000", [](const Tally& tally) { return perThousand(tally.refused, tally); } },
    TallyColumn { "p99 ms", [](const Tally& tally) { return milliseconds(tally.interTokenLatency.quantile(0.99)); } },
    TallyColumn { "stall s", [](const Tally& tally) { return milliseconds(tally.stall) / 1000; } },
    TallyColumn {
        "ttft p95 ms", [](const Tally& tally) { return milliseconds(tally.timeToFirstToken.quantile(0.95)); } },
};

const std::array classNames { "checks", "summaries", "drafts" };

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

/** Runs all settings on concurrent workers that share a queue. @param jobs number of workers. */
std::vector<ExperimentResult> runAll(const std::vector<ExperimentSettings>& all, std::uint32_t jobs)
{
    std::vector<std::optional<ExperimentResult>> results(all.size());
    std::atomic<std::size_t> next { 0 };
    std::vector<std::future<void>> workers;
    for (std::uint32_t job = 0; job < jobs; ++job)
        workers.push_back(std::async(std::launch::async, [&] {
            for (std::size_t index = next++; index < all.size(); index = next++)
                results[index] = runAdmissionExperiment(all[index]);
        }));
    for (auto& worker : workers)
        worker.get();
    std::vector<ExperimentResult> completed;
    for (auto& result : results)
        completed.push_back(std::move(*result));
    return completed;
}

/** Runs a variant on each engine with each seed. @return one result for each seed, merged over all engines. */
Runs runVariant(const Options& chosen, const std::vector<MeasuredEngine>& engines, double load, const Variant& variant)
{
    std::vector<ExperimentSettings> all;
    for (std::uint64_t seed = 1; seed <= chosen.seeds; ++seed) {
        for (const MeasuredEngine& engine : engines) {
            all.push_back(steadyStateSettings(engine, seed, Seconds(chosen.seconds), load));
            variant.change(all.back());
        }
    }
    const auto results = runAll(all, chosen.jobs);
    Runs merged(chosen.seeds);
    for (std::size_t resultIndex = 0; resultIndex < results.size(); ++resultIndex)
        merged[resultIndex / engines.size()].add(results[resultIndex]);
    return merged;
}

template <typename Value> void printCell(const Runs& runs, Value value)
{
    std::vector<double> values;
    for (const AggregateResult& run : runs)
        values.push_back(value(run));
    std::printf(" %8.1f [%6.1f %6.1f]", median(values), *std::min_element(values.begin(), values.end()),
        *std::max_element(values.begin(), values.end()));
}

void printHeader()
{
    std::printf("%-5s %-18s", "load", "policy");
    for (const Column& column : columns)
        std::printf(" %24s", column.title);
    std::printf("\n");
}

void printClasses(const char* name, const Runs& runs)
{
    for (std::size_t index = 0; index < classNames.size(); ++index) {
        std::printf("      %-18s %-9s", name, classNames[index]);
        for (const TallyColumn& column : classColumns) {
            std::printf(" %s", column.title);
            printCell(runs, [&](const AggregateResult& run) {
                const auto found = run.byClass.find(static_cast<PriorityClass>(index));
                return found == run.byClass.end() ? 0 : column.value(found->second);
            });
        }
        std::printf("\n");
    }
}

void printRefusals(const char* name, const Runs& runs)
{
    std::map<ErrorCode, std::uint64_t> reasons;
    for (const AggregateResult& run : runs) {
        for (const auto& [code, count] : run.refusals)
            reasons[code] += count;
    }
    for (const auto& [code, count] : reasons)
        std::printf("      %-18s refused, all seeds: %s %llu\n", name, std::string(errorCodeName(code)).c_str(),
            static_cast<unsigned long long>(count));
}

void printRow(double load, const char* name, const Runs& runs)
{
    std::printf("%-5.1f %-18s", load, name);
    for (const Column& column : columns)
        printCell(runs, column.value);
    std::printf("\n");
    printClasses(name, runs);
    printRefusals(name, runs);
    std::fflush(stdout);
}

const std::array policyVariants {
    Variant { "conditional", [](ExperimentSettings& settings) { settings.policy.admission = "conditional"; } },
    Variant { "unlimited", [](ExperimentSettings& settings) { settings.policy.admission = "unlimited"; } },
    Variant { "fixed-slots", [](ExperimentSettings& settings) { settings.policy.admission = "fixed-slots"; } },
    Variant { "reserve-max", [](ExperimentSettings& settings) { settings.policy.admission = "reserve-max"; } },
};

const std::array ablations {
    Variant { "all-mechanisms", [](ExperimentSettings&) {} },
    Variant {
        "no-memory", [](ExperimentSettings& settings) { settings.policy.admission = "conditional-without-memory"; } },
    Variant { "no-pace", [](ExperimentSettings& settings) { settings.policy.admission = "conditional-without-pace"; } },
    Variant {
        "no-warmth", [](ExperimentSettings& settings) { settings.policy.admission = "conditional-without-warmth"; } },
    Variant { "no-fairness", [](ExperimentSettings& settings) { settings.distinguishesTeams = false; } },
    Variant {
        "no-early-refusal", [](ExperimentSettings& settings) { settings.limits.refusesUnreachableDeadlines = false; } },
};

/** Measures the conditional policy with one mechanism switched off at a time. */
void compareAblations(const Options& chosen, const std::vector<MeasuredEngine>& engines)
{
    constexpr double load = 1.3;
    std::printf("\nconditional with one mechanism off\n");
    printHeader();
    for (const Variant& variant : ablations)
        printRow(load, variant.name, runVariant(chosen, engines, load, variant));
}

void comparePolicies(const Options& chosen, const std::vector<MeasuredEngine>& engines)
{
    printHeader();
    for (const double load : loads) {
        for (const Variant& variant : policyVariants) {
            if (chosen.only.empty() || chosen.only == variant.name)
                printRow(load, variant.name, runVariant(chosen, engines, load, variant));
        }
    }
}

/** Runs the small team alone or, with the same seeds, beside the flooding team. */
Runs runSmallTeam(const Options& chosen, const std::vector<MeasuredEngine>& engines, const Variant& variant, bool flood)
{
    std::vector<ExperimentSettings> all;
    for (std::uint64_t seed = 1; seed <= chosen.seeds; ++seed) {
        for (const MeasuredEngine& engine : engines) {
            const double load = flood ? smallTeamShare + floodShare : smallTeamShare;
            all.push_back(steadyStateSettings(engine, seed, Seconds(chosen.seconds), load));
            all.back().workload.teams = { { smallTeam, smallTeamShare } };
            if (flood)
                all.back().workload.teams.push_back({ floodingTeam, floodShare });
            variant.change(all.back());
        }
    }
    const auto results = runAll(all, chosen.jobs);
    Runs merged(chosen.seeds);
    for (std::size_t resultIndex = 0; resultIndex < results.size(); ++resultIndex)
        merged[resultIndex / engines.size()].add(results[resultIndex]);
    return merged;
}

void printSmallTeam(const char* name, const char* when, const Runs& runs)
{
    std::printf("%-18s %-7s", name, when);
    static constexpr std::array shownColumns {
        TallyColumn {
            "p95 between ms", [](const Tally& tally) { return milliseconds(tally.interTokenLatency.quantile(0.95)); } },
        TallyColumn { "first token p95 ms",
            [](const Tally& tally) { return milliseconds(tally.timeToFirstToken.quantile(0.95)); } },
        TallyColumn { "on time/1000", [](const Tally& tally) { return perThousand(tally.onTime, tally); } }
    };
    for (const TallyColumn& column : shownColumns) {
        std::printf(" %s", column.title);
        printCell(runs, [&](const AggregateResult& run) { return column.value(run.byTeam.at(smallTeam)); });
    }
    std::printf("\n");
    std::fflush(stdout);
}

void compareFlood(const Options& chosen, const std::vector<MeasuredEngine>& engines)
{
    std::printf("\na small team alone, and beside a team that sends 1.3 times the capacity\n");
    for (const Variant& variant : policyVariants) {
        if (!chosen.only.empty() && chosen.only != variant.name)
            continue;
        printSmallTeam(variant.name, "alone", runSmallTeam(chosen, engines, variant, false));
        printSmallTeam(variant.name, "beside", runSmallTeam(chosen, engines, variant, true));
    }
}

}

int main(int argc, char** argv)
{
    Options chosen;
    options::options_description description("Compares admission policies in process, under a manual clock");
    description.add_options()("help", "show this help")(
        "seeds", options::value(&chosen.seeds)->default_value(chosen.seeds), "number of seeds")("seconds",
        options::value(&chosen.seconds)->default_value(chosen.seconds),
        "simulated seconds in which requests are counted")("jobs",
        options::value(&chosen.jobs)->default_value(chosen.jobs),
        "concurrent runs")("only", options::value(&chosen.only), "policy to run; all when not given")("skip-flood",
        options::bool_switch(&chosen.skipFlood), "skip the comparison of a small team with and without a flooding one")(
        "only-ablations", options::bool_switch(&chosen.onlyAblations), "run only the ablations")("only-flood",
        options::bool_switch(&chosen.onlyFlood),
        "run only the comparison of a small team with and without a flooding one");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    WorkloadSettings workload;
    workload.kinds = defaultKinds();
    workload.teams = defaultTeams();
    const std::vector<MeasuredEngine> engines = measureEngines(workload);
    for (const MeasuredEngine& engine : engines)
        std::printf("capacity of the %s engine: %.2f requests/s (admission by true lengths, engine always busy)\n",
            engine.name.c_str(), engine.capacity);
    std::printf("each cell: median [least greatest] over %llu seeds, %lld s counted in steady state, all engines\n\n",
        static_cast<unsigned long long>(chosen.seeds), static_cast<long long>(chosen.seconds));
    if (!chosen.onlyAblations && !chosen.onlyFlood)
        comparePolicies(chosen, engines);
    if (chosen.onlyAblations || (chosen.only.empty() && !chosen.onlyFlood))
        compareAblations(chosen, engines);
    if (!chosen.skipFlood && !chosen.onlyAblations)
        compareFlood(chosen, engines);
    return 0;
}
