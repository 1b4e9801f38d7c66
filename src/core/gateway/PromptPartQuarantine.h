#pragma once

#include "core/entry/RouterLimits.h"
#include "ports/PeerMessages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace teaselfold {

/**
 * Finds the parts of prompts that crash engines, and refuses requests with such parts. No two of these requests need to
 * be alike otherwise. A part is suspected when the engine of a run with it crashes before the run got past its start (a
 * death), and cleared when another run with it gets past its start (a survival).
 * Suspected parts that occurred in the same broken runs cannot be told apart; only requests with all of them are
 * refused, so that other requests can clear the harmless ones.
 */
class PromptPartQuarantine {
public:
    using Parts = std::vector<PromptPartId>;

    explicit PromptPartQuarantine(const RouterLimits& limits)
        : limits(limits)
    {
    }

    /**
     * Records a run at this gateway whose engine crashed before the run got past its start.
     * @param report random id of the report, by which gateways recognize it.
     * @param endpoint lower 32 bits of the hash of the endpoint's id.
     */
    void recordBrokenStart(std::uint64_t report, std::uint32_t endpoint, const Parts& parts, Instant now);
    /** Records a run at this gateway that got past its start, so that none of its parts crashes engines. */
    void recordSurvival(const Parts& parts, Instant now);
    /** Merges the evidence of another gateway. */
    void merge(const PromptPartEvidence& evidence, Instant now);
    /** Discards evidence that is too old. */
    void expire(Instant now);

    /** @return the time for which requests with these parts are refused; zero when they may run. */
    Milliseconds remainingQuarantine(const Parts& parts, Instant now) const;
    /** @return true if one of the parts is suspected of two deaths or more; a quarantine takes three. */
    bool isSuspect(const Parts& parts) const;
    /** @return the sets of parts that were quarantined since the last call. */
    std::vector<Parts> takeQuarantined();

    /** @return the evidence that other gateways may not have received yet. */
    PromptPartEvidence recentEvidence(Instant now) const;
    /**
     * @return the recent evidence, and older evidence for what is quarantined, for gateways that missed it: enough for
     * the quarantine, and some of the other reports, different ones each second.
     */
    PromptPartEvidence allEvidence(Instant now) const;

private:
    struct BrokenRun {
        std::uint32_t endpoint { 0 };
        Parts parts;
        Instant at;
        bool isOwn { false };
    };
    struct Survival {
        Instant at;
        bool isOwn { false };
    };
    /** Parts that are refused when they occur together, and the reports that led to it. */
    struct Group {
        Parts parts;
        std::vector<std::uint64_t> reports;
        Instant expiresAt;
    };
    using Reports = std::map<std::uint64_t, BrokenRun>;
    using ReportsByPart = std::map<PromptPartId, std::vector<std::uint64_t>>;

    /** @return true if the part may be what broke the run. */
    bool isSuspected(PromptPartId part, const BrokenRun& run) const;
    Parts suspectedParts(const BrokenRun& run) const;
    /** @return the given reports of runs with the part, while it is suspected. */
    std::vector<std::uint64_t> reportsOf(PromptPartId part, const std::set<std::uint64_t>& among) const;
    /** @return the first report of each crash that the reports stand for, oldest first. */
    std::vector<std::uint64_t> selectDeaths(const std::vector<std::uint64_t>& among) const;
    std::uint32_t countDeaths(const std::vector<std::uint64_t>& among) const;
    /** @return for each suspected part the reports, in order, of runs with it. */
    ReportsByPart indexByPart(const std::set<std::uint64_t>& among) const;
    /** @return the reports, in order, with the part that explains most deaths; empty if it explains too few. */
    std::vector<std::uint64_t> findReports(const ReportsByPart& index) const;
    /** @return the reports of all endpoints but those that break runs whatever their prompts are. */
    std::set<std::uint64_t> usableReports() const;
    /** @return true if the reports are of several moments that have no prompt part in common. */
    bool areUnrelated(const std::vector<std::uint64_t>& reportsOfEndpoint) const;
    /** @return true if the run broke in a crash that the group explains. */
    bool isExplained(const BrokenRun& run, const Group& group) const;
    /** @return the parts that explain most of the deaths; unset if too few deaths have a common part. */
    std::optional<Group> findGroup(const std::set<std::uint64_t>& unexplained) const;
    /** Determines the groups anew after the evidence changed. */
    void updateGroups();
    /** Adds a report or corrects the time of a known one. @return true if that changed anything. */
    bool addReport(std::uint64_t report, BrokenRun run);
    /** @return true if the survival clears the part in a report. */
    bool addSurvival(PromptPartId part, Survival survival);
    void addEvidence(PromptPartEvidence& evidence, std::uint64_t report, Instant now) const;
    /** Adds this gateway's survivals of parts that occur in reports, the most frequent parts first. */
    void addSurvivals(PromptPartEvidence& evidence, Instant now) const;
    /** Discards the oldest report that led to no quarantine. */
    void discardOldestReport();
    std::size_t countReports(PromptPartId part) const;

    RouterLimits limits;
    Reports reports;
    std::map<PromptPartId, Survival> survivals;
    std::vector<Group> groups;
    std::vector<Parts> newlyQuarantined;
};

}
