#include "emulator/load/LoadReport.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <array>
#include <iomanip>

namespace teaselfold {

namespace {

    constexpr std::array classNames { "interactive", "standard", "batch" };
    constexpr int nameWidth = 14;
    constexpr int cellWidth = 12;

    double milliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

    template <auto Counter> double counter(const Tally& tally) { return static_cast<double>(tally.*Counter); }

    template <int PerTenThousand> double interTokenQuantile(const Tally& tally)
    {
        return milliseconds(tally.interTokenLatency.quantile(PerTenThousand / 10000.0));
    }

    template <int PerTenThousand> double firstTokenQuantile(const Tally& tally)
    {
        return milliseconds(tally.timeToFirstToken.quantile(PerTenThousand / 10000.0));
    }

    /** Name of a figure in the text and JSON reports, and the function that computes it. */
    struct Figure {
        const char* name;
        double (*value)(const Tally&);
    };

    constexpr std::array figures { Figure { "sent", counter<&Tally::sent> },
        Figure { "completed", counter<&Tally::completed> }, Figure { "on_time", counter<&Tally::onTime> },
        Figure { "refused", counter<&Tally::refused> }, Figure { "failed", counter<&Tally::failed> },
        Figure { "lost", counter<&Tally::lost> }, Figure { "doubled", counter<&Tally::corrupt> },
        Figure { "tokens", counter<&Tally::tokens> },
        Figure { "stall_ms", [](const Tally& tally) { return milliseconds(tally.stall); } },
        Figure { "p50_ms", interTokenQuantile<5000> }, Figure { "p95_ms", interTokenQuantile<9500> },
        Figure { "p99_ms", interTokenQuantile<9900> }, Figure { "p99.9_ms", interTokenQuantile<9990> },
        Figure { "ttft50_ms", firstTokenQuantile<5000> }, Figure { "ttft95_ms", firstTokenQuantile<9500> },
        Figure { "ttft99_ms", firstTokenQuantile<9900> } };

    const char* className(PriorityClass priority) { return classNames[static_cast<std::size_t>(priority)]; }

    double preemptionsPerThousand(const LoadResult& result)
    {
        constexpr double thousand = 1000;
        const Tally total = result.recorder.total();
        const std::uint64_t run = total.sent - total.refused;
        return run == 0 ? 0
                        : thousand * static_cast<double>(result.engineCounters.preemptions) / static_cast<double>(run);
    }

    /** @return share of prompt tokens that the engines reused from their prefix caches, in [0, 1]. */
    double prefixHitShare(const EngineCounters& counters)
    {
        const std::uint64_t total = counters.promptTokensReused + counters.promptTokensComputed;
        return total == 0 ? 0 : static_cast<double>(counters.promptTokensReused) / static_cast<double>(total);
    }

    /** @return the merged outcomes of the endpoints that the schedule disturbs, or of all others. */
    EndpointTally mergeEndpoints(const LoadResult& result, bool disturbed)
    {
        EndpointTally group;
        for (const auto& [endpoint, counted] : result.recorder.byEndpoint()) {
            if (endpoint.get().starts_with(result.disturbedPrefix) != disturbed)
                continue;
            group.tally.merge(counted.tally);
            group.sendTimes.insert(group.sendTimes.end(), counted.sendTimes.begin(), counted.sendTimes.end());
        }
        std::sort(group.sendTimes.begin(), group.sendTimes.end());
        return group;
    }

    /** Interval between the send times of two consecutive requests, counted from the start of the run. */
    struct IdleInterval {
        Duration from { 0 };
        Duration to { 0 };
    };

    IdleInterval longestIdleInterval(const LoadResult& result, const std::vector<Instant>& sendTimes)
    {
        IdleInterval longest;
        for (std::size_t index = 1; index < sendTimes.size(); ++index) {
            const IdleInterval idle { sendTimes[index - 1] - result.startTime, sendTimes[index] - result.startTime };
            if (idle.to - idle.from > longest.to - longest.from)
                longest = idle;
        }
        return longest;
    }

    void writeRow(std::ostream& out, const std::string& name, const Tally& tally)
    {
        out << std::left << std::setw(nameWidth) << name << std::right << std::fixed << std::setprecision(1);
        for (const Figure& figure : figures)
            out << std::setw(cellWidth) << figure.value(tally);
        out << "\n";
    }

    void writeDisturbedGroups(std::ostream& out, const LoadResult& result)
    {
        const EndpointTally disturbed = mergeEndpoints(result, true);
        writeRow(out, "disturbed", disturbed.tally);
        writeRow(out, "elsewhere", mergeEndpoints(result, false).tally);
        const IdleInterval idle = longestIdleInterval(result, disturbed.sendTimes);
        out << "longest time without new work for the disturbed endpoints: " << milliseconds(idle.from) << " ms to "
            << milliseconds(idle.to) << " ms\n";
    }

    Poco::JSON::Object tallyObject(const Tally& tally)
    {
        Poco::JSON::Object object;
        for (const Figure& figure : figures)
            object.set(figure.name, figure.value(tally));
        return object;
    }

}

void writeText(std::ostream& out, const LoadResult& result)
{
    out << std::left << std::setw(nameWidth) << "" << std::right;
    for (const Figure& figure : figures)
        out << std::setw(cellWidth) << figure.name;
    out << "\n";
    writeRow(out, "all", result.recorder.total());
    for (const auto& [priority, tally] : result.recorder.byClass())
        writeRow(out, className(priority), tally);
    for (const auto& [team, tally] : result.recorder.byTeam())
        writeRow(out, team.get(), tally);
    if (!result.disturbedPrefix.empty())
        writeDisturbedGroups(out, result);
    out << "preemptions per 1,000 generations: " << preemptionsPerThousand(result) << " (" << result.enginesRead
        << " engines read without a restart)\nprompt tokens from prefix caches: " << std::setprecision(3)
        << prefixHitShare(result.engineCounters)
        << "\nnot sent for want of client threads (counted as refused): " << result.unsent << "\n";
    for (const ScheduledCallResult& call : result.calls)
        out << call.call.method << " " << call.call.url << " -> " << call.status << "\n";
}

void writeJson(std::ostream& out, const LoadResult& result)
{
    Poco::JSON::Object classes;
    for (const auto& [priority, tally] : result.recorder.byClass())
        classes.set(className(priority), tallyObject(tally));
    Poco::JSON::Object teams;
    for (const auto& [team, tally] : result.recorder.byTeam())
        teams.set(team.get(), tallyObject(tally));
    Poco::JSON::Object endpoints;
    for (const auto& [endpoint, counted] : result.recorder.byEndpoint())
        endpoints.set(endpoint.get(), tallyObject(counted.tally));
    Poco::JSON::Array calls;
    for (const ScheduledCallResult& one : result.calls) {
        Poco::JSON::Object call;
        call.set("url", one.call.url);
        call.set("status", one.status);
        calls.add(call);
    }
    Poco::JSON::Object report;
    report.set("all", tallyObject(result.recorder.total()));
    report.set("classes", classes);
    report.set("teams", teams);
    report.set("endpoints", endpoints);
    if (!result.disturbedPrefix.empty()) {
        const EndpointTally disturbed = mergeEndpoints(result, true);
        const IdleInterval idle = longestIdleInterval(result, disturbed.sendTimes);
        report.set("disturbed", tallyObject(disturbed.tally));
        report.set("elsewhere", tallyObject(mergeEndpoints(result, false).tally));
        report.set("pause_from_ms", milliseconds(idle.from));
        report.set("pause_to_ms", milliseconds(idle.to));
    }
    report.set("preemptions", result.engineCounters.preemptions);
    report.set("preemptions_per_thousand", preemptionsPerThousand(result));
    report.set("prefix_hit_share", prefixHitShare(result.engineCounters));
    report.set("engines_read", result.enginesRead);
    report.set("unsent", result.unsent);
    report.set("calls", calls);
    report.stringify(out);
    out << "\n";
}

bool allAnswersIntact(const LoadResult& result)
{
    const Tally total = result.recorder.total();
    return total.lost == 0 && total.corrupt == 0;
}

}
