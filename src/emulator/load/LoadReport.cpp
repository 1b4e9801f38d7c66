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

    template <int PerTenThousand> double between(const Tally& tally)
    {
        return milliseconds(tally.betweenTokens.quantile(PerTenThousand / 10000.0));
    }

    template <int PerTenThousand> double first(const Tally& tally)
    {
        return milliseconds(tally.firstToken.quantile(PerTenThousand / 10000.0));
    }

    /** One figure of a tally: its name in both reports, and how to get it. */
    struct Figure {
        const char* name;
        double (*value)(const Tally&);
    };

    constexpr std::array figures { Figure { "sent", counter<&Tally::sent> },
        Figure { "completed", counter<&Tally::completed> }, Figure { "on_time", counter<&Tally::onTime> },
        Figure { "refused", counter<&Tally::refused> }, Figure { "failed", counter<&Tally::failed> },
        Figure { "lost", counter<&Tally::lost> }, Figure { "doubled", counter<&Tally::doubled> },
        Figure { "tokens", counter<&Tally::tokens> },
        Figure { "stall_ms", [](const Tally& tally) { return milliseconds(tally.stall); } },
        Figure { "p50_ms", between<5000> }, Figure { "p95_ms", between<9500> }, Figure { "p99_ms", between<9900> },
        Figure { "p99.9_ms", between<9990> }, Figure { "ttft50_ms", first<5000> }, Figure { "ttft95_ms", first<9500> },
        Figure { "ttft99_ms", first<9900> } };

    const char* className(PriorityClass priority) { return classNames[static_cast<std::size_t>(priority)]; }

    double preemptionsPerThousand(const LoadResult& result)
    {
        constexpr double thousand = 1000;
        const Tally whole = result.record.whole();
        const std::uint64_t run = whole.sent - whole.refused;
        return run == 0 ? 0 : thousand * static_cast<double>(result.engines.preemptions) / static_cast<double>(run);
    }

    /** @return the share of prompt tokens that the engines took from their prefix caches, in [0, 1]. */
    double prefixHitShare(const EngineCounts& counts)
    {
        const std::uint64_t total = counts.promptReused + counts.promptComputed;
        return total == 0 ? 0 : static_cast<double>(counts.promptReused) / static_cast<double>(total);
    }

    /** The endpoints that a schedule disturbs, or all others. */
    EndpointTally gather(const LoadResult& result, bool disturbed)
    {
        EndpointTally group;
        for (const auto& [endpoint, counted] : result.record.byEndpoint()) {
            if (endpoint.get().starts_with(result.disturbed) != disturbed)
                continue;
            group.tally.merge(counted.tally);
            group.sentAt.insert(group.sentAt.end(), counted.sentAt.begin(), counted.sentAt.end());
        }
        std::sort(group.sentAt.begin(), group.sentAt.end());
        return group;
    }

    /** A time in which no request that an endpoint got was due. */
    struct Pause {
        Duration from { 0 };
        Duration to { 0 };
    };

    Pause longestPause(const LoadResult& result, const std::vector<Instant>& sentAt)
    {
        Pause longest;
        for (std::size_t place = 1; place < sentAt.size(); ++place) {
            const Pause pause { sentAt[place - 1] - result.begun, sentAt[place] - result.begun };
            if (pause.to - pause.from > longest.to - longest.from)
                longest = pause;
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

    void writeDisturbed(std::ostream& out, const LoadResult& result)
    {
        const EndpointTally disturbed = gather(result, true);
        writeRow(out, "disturbed", disturbed.tally);
        writeRow(out, "elsewhere", gather(result, false).tally);
        const Pause pause = longestPause(result, disturbed.sentAt);
        out << "longest time without new work for the disturbed endpoints: " << milliseconds(pause.from) << " ms to "
            << milliseconds(pause.to) << " ms\n";
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
    writeRow(out, "all", result.record.whole());
    for (const auto& [priority, tally] : result.record.byClass())
        writeRow(out, className(priority), tally);
    for (const auto& [team, tally] : result.record.byTeam())
        writeRow(out, team.get(), tally);
    if (!result.disturbed.empty())
        writeDisturbed(out, result);
    out << "preemptions per 1,000 generations: " << preemptionsPerThousand(result) << " (" << result.enginesRead
        << " engines read without a restart)\nprompt tokens from prefix caches: " << std::setprecision(3)
        << prefixHitShare(result.engines)
        << "\nnot sent for want of client threads (counted as refused): " << result.unsent << "\n";
    for (const ScheduledResult& call : result.calls)
        out << call.call.method << " " << call.call.url << " -> " << call.status << "\n";
}

void writeJson(std::ostream& out, const LoadResult& result)
{
    Poco::JSON::Object classes;
    for (const auto& [priority, tally] : result.record.byClass())
        classes.set(className(priority), tallyObject(tally));
    Poco::JSON::Object teams;
    for (const auto& [team, tally] : result.record.byTeam())
        teams.set(team.get(), tallyObject(tally));
    Poco::JSON::Object endpoints;
    for (const auto& [endpoint, counted] : result.record.byEndpoint())
        endpoints.set(endpoint.get(), tallyObject(counted.tally));
    Poco::JSON::Array calls;
    for (const ScheduledResult& one : result.calls) {
        Poco::JSON::Object call;
        call.set("url", one.call.url);
        call.set("status", one.status);
        calls.add(call);
    }
    Poco::JSON::Object report;
    report.set("all", tallyObject(result.record.whole()));
    report.set("classes", classes);
    report.set("teams", teams);
    report.set("endpoints", endpoints);
    if (!result.disturbed.empty()) {
        const EndpointTally disturbed = gather(result, true);
        const Pause pause = longestPause(result, disturbed.sentAt);
        report.set("disturbed", tallyObject(disturbed.tally));
        report.set("elsewhere", tallyObject(gather(result, false).tally));
        report.set("pause_from_ms", milliseconds(pause.from));
        report.set("pause_to_ms", milliseconds(pause.to));
    }
    report.set("preemptions", result.engines.preemptions);
    report.set("preemptions_per_thousand", preemptionsPerThousand(result));
    report.set("prefix_hit_share", prefixHitShare(result.engines));
    report.set("engines_read", result.enginesRead);
    report.set("unsent", result.unsent);
    report.set("calls", calls);
    report.stringify(out);
    out << "\n";
}

bool answersAreSound(const LoadResult& result)
{
    const Tally whole = result.record.whole();
    return whole.lost == 0 && whole.doubled == 0;
}

}
