#include "core/gateway/PromptPartQuarantine.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace teaselfold {

namespace {

    /** Deaths with a common part after which it is quarantined. Fewer can be chance when many engines crash. */
    constexpr std::uint32_t quarantineDeaths = 3;
    /** Deaths with a common part after which a broken run is not resumed at a further engine. */
    constexpr std::uint32_t suspectDeaths = 2;
    /** An endpoint at which runs broke at this many times the moments that a part is common to breaks any run. */
    constexpr std::size_t unrelatedMoments = 3;
    /** Deaths closer together have a common cause outside of the requests, such as the loss of a zone. */
    constexpr Milliseconds simultaneousDeaths(250);
    /** A survival clears a part of deaths up to this long after it. A part may become harmful, but not at once. */
    constexpr Milliseconds survivalMemory(10000);
    /** Time for which a report is repeated in every message, because datagrams may be lost. */
    constexpr Milliseconds announcementTime(3000);
    /** Datagrams of one report differ by less than this in the time that they give it, unless one was held up. */
    constexpr Milliseconds reportTimeTolerance(100);
    constexpr std::size_t maxReports = 64;
    constexpr std::size_t maxSentReports = 6;
    constexpr std::size_t maxSentSurvivals = 8;

    Milliseconds ageOf(Instant at, Instant now)
    {
        return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(now - at));
    }

    bool containsAll(const PromptPartQuarantine::Parts& parts, const PromptPartQuarantine::Parts& wanted)
    {
        return std::all_of(wanted.begin(), wanted.end(),
            [&](PromptPartId part) { return std::find(parts.begin(), parts.end(), part) != parts.end(); });
    }

}

void PromptPartQuarantine::recordBrokenStart(
    std::uint64_t report, std::uint32_t endpoint, const Parts& parts, Instant now)
{
    if (!parts.empty() && this->addReport(report, { endpoint, parts, now, true }))
        this->updateGroups();
}

void PromptPartQuarantine::recordSurvival(const Parts& parts, Instant now)
{
    bool clearsPart = false;
    for (const PromptPartId part : parts)
        clearsPart = this->addSurvival(part, { now, true }) || clearsPart;
    if (clearsPart)
        this->updateGroups();
}

void PromptPartQuarantine::merge(const PromptPartEvidence& evidence, Instant now)
{
    bool changed = false;
    for (const auto& start : evidence.brokenStarts)
        changed = this->addReport(start.report, { start.endpoint, start.parts, now - start.age, false }) || changed;
    for (const auto& survival : evidence.survivals)
        changed = this->addSurvival(survival.part, { now - survival.age, false }) || changed;
    if (changed)
        this->updateGroups();
}

bool PromptPartQuarantine::addReport(std::uint64_t report, BrokenRun run)
{
    const Instant at = run.at;
    const auto [known, isNew] = this->reports.try_emplace(report, std::move(run));
    // A datagram that waited, for example while this process was suspended, makes its reports look too new.
    const bool isCorrected = at + reportTimeTolerance < known->second.at;
    if (isCorrected)
        known->second.at = at;
    if (this->reports.size() > maxReports)
        this->discardOldestReport();
    return isNew || isCorrected;
}

void PromptPartQuarantine::discardOldestReport()
{
    std::set<std::uint64_t> evidence;
    for (const Group& group : this->groups)
        evidence.insert(group.reports.begin(), group.reports.end());
    const auto isLessUseful = [&](const auto& left, const auto& right) {
        return std::pair(evidence.contains(left.first), left.second.at)
            < std::pair(evidence.contains(right.first), right.second.at);
    };
    this->reports.erase(std::min_element(this->reports.begin(), this->reports.end(), isLessUseful));
}

bool PromptPartQuarantine::addSurvival(PromptPartId part, Survival survival)
{
    const auto countSuspectedRuns = [&] {
        return std::count_if(this->reports.begin(), this->reports.end(),
            [&](const auto& report) { return this->isSuspected(part, report.second); });
    };
    const auto [entry, isNew] = this->survivals.try_emplace(part, survival);
    if (!isNew && entry->second.at >= survival.at)
        return false;
    if (!isNew) {
        const auto before = countSuspectedRuns();
        entry->second = survival;
        return countSuspectedRuns() != before;
    }
    return this->countReports(part) > 0;
}

std::size_t PromptPartQuarantine::countReports(PromptPartId part) const
{
    const auto count = std::count_if(this->reports.begin(), this->reports.end(),
        [&](const auto& report) { return containsAll(report.second.parts, { part }); });
    return static_cast<std::size_t>(count);
}

void PromptPartQuarantine::expire(Instant now)
{
    const std::size_t before = this->reports.size();
    std::erase_if(this->groups, [&](const Group& group) { return group.expiresAt <= now; });
    std::set<std::uint64_t> kept;
    for (const Group& group : this->groups)
        kept.insert(group.reports.begin(), group.reports.end());
    std::erase_if(this->reports, [&](const auto& entry) {
        return !kept.contains(entry.first) && now - entry.second.at >= this->limits.quarantineTime;
    });
    std::erase_if(this->survivals, [&](const auto& entry) {
        return now - entry.second.at > survivalMemory && this->countReports(entry.first) == 0;
    });
    if (this->reports.size() != before)
        this->updateGroups();
}

bool PromptPartQuarantine::isSuspected(PromptPartId part, const BrokenRun& run) const
{
    if (!containsAll(run.parts, { part }))
        return false;
    const auto survival = this->survivals.find(part);
    return survival == this->survivals.end() || survival->second.at + survivalMemory < run.at;
}

PromptPartQuarantine::Parts PromptPartQuarantine::suspectedParts(const BrokenRun& run) const
{
    Parts suspected;
    for (const PromptPartId part : run.parts) {
        if (this->isSuspected(part, run))
            suspected.push_back(part);
    }
    return suspected;
}

std::vector<std::uint64_t> PromptPartQuarantine::reportsOf(
    PromptPartId part, const std::set<std::uint64_t>& among) const
{
    std::vector<std::uint64_t> found;
    for (const std::uint64_t report : among) {
        if (this->isSuspected(part, this->reports.at(report)))
            found.push_back(report);
    }
    return found;
}

std::vector<std::uint64_t> PromptPartQuarantine::selectDeaths(const std::vector<std::uint64_t>& among) const
{
    std::vector<std::uint64_t> oldestFirst = among;
    std::ranges::sort(oldestFirst, {}, [&](std::uint64_t report) { return this->reports.at(report).at; });
    std::vector<std::uint64_t> deaths;
    std::optional<Instant> lastDeath;
    std::map<std::uint32_t, Instant> lastDeathAtEndpoint;
    for (const std::uint64_t report : oldestFirst) {
        const BrokenRun& run = this->reports.at(report);
        const auto atEndpoint = lastDeathAtEndpoint.find(run.endpoint);
        const bool isSameDeath = (lastDeath && run.at - *lastDeath < simultaneousDeaths)
            || (atEndpoint != lastDeathAtEndpoint.end() && run.at - atEndpoint->second < this->limits.deathWindow);
        if (isSameDeath)
            continue;
        deaths.push_back(report);
        lastDeath = run.at;
        lastDeathAtEndpoint[run.endpoint] = run.at;
    }
    return deaths;
}

std::uint32_t PromptPartQuarantine::countDeaths(const std::vector<std::uint64_t>& among) const
{
    return static_cast<std::uint32_t>(this->selectDeaths(among).size());
}

PromptPartQuarantine::ReportsByPart PromptPartQuarantine::indexByPart(const std::set<std::uint64_t>& among) const
{
    ReportsByPart index;
    for (const std::uint64_t report : among) {
        const Parts parts = this->suspectedParts(this->reports.at(report));
        for (const PromptPartId part : std::set(parts.begin(), parts.end()))
            index[part].push_back(report);
    }
    return index;
}

std::vector<std::uint64_t> PromptPartQuarantine::findReports(const ReportsByPart& index) const
{
    struct Candidate {
        std::uint32_t deaths { 0 };
        std::vector<std::uint64_t> reports;
    };
    std::vector<Candidate> candidates;
    for (const auto& [part, reportsOfPart] : index) {
        if (reportsOfPart.size() < quarantineDeaths)
            continue;
        const std::uint32_t deaths = this->countDeaths(reportsOfPart);
        if (deaths >= quarantineDeaths)
            candidates.push_back({ deaths, reportsOfPart });
    }
    if (candidates.empty())
        return {};
    std::ranges::sort(candidates, [](const Candidate& left, const Candidate& right) {
        return std::pair(right.deaths, left.reports.size()) < std::pair(left.deaths, right.reports.size());
    });
    const Candidate& most = candidates.front();
    // A frequent part may occur in one death more than the harmful part by chance.
    const auto narrower = std::find_if(candidates.rbegin(), candidates.rend(), [&](const Candidate& candidate) {
        return candidate.deaths + 1 >= most.deaths && std::ranges::includes(most.reports, candidate.reports);
    });
    return narrower->reports;
}

std::optional<PromptPartQuarantine::Group> PromptPartQuarantine::findGroup(
    const std::set<std::uint64_t>& unexplained) const
{
    const ReportsByPart index = this->indexByPart(unexplained);
    Group group { {}, this->findReports(index), Instant {} };
    if (group.reports.empty())
        return std::nullopt;
    for (const auto& [part, reportsOfPart] : index) {
        if (std::ranges::includes(reportsOfPart, group.reports))
            group.parts.push_back(part);
    }
    for (const std::uint64_t report : group.reports)
        group.expiresAt = std::max(group.expiresAt, this->reports.at(report).at + this->limits.quarantineTime);
    return group;
}

bool PromptPartQuarantine::areUnrelated(const std::vector<std::uint64_t>& reportsOfEndpoint) const
{
    std::size_t moments = 0;
    Instant lastMoment;
    std::map<PromptPartId, std::size_t> momentsByPart;
    std::set<PromptPartId> partsOfMoment;
    std::vector<std::uint64_t> oldestFirst = reportsOfEndpoint;
    std::ranges::sort(oldestFirst, {}, [&](std::uint64_t report) { return this->reports.at(report).at; });
    for (const std::uint64_t report : oldestFirst) {
        const BrokenRun& run = this->reports.at(report);
        if (moments == 0 || run.at - lastMoment >= simultaneousDeaths) {
            ++moments;
            lastMoment = run.at;
            partsOfMoment.clear();
        }
        for (const PromptPartId part : this->suspectedParts(run)) {
            if (partsOfMoment.insert(part).second)
                ++momentsByPart[part];
        }
    }
    std::size_t mostCommon = 0;
    for (const auto& [part, count] : momentsByPart)
        mostCommon = std::max(mostCommon, count);
    return moments >= unrelatedMoments && mostCommon * unrelatedMoments <= moments;
}

std::set<std::uint64_t> PromptPartQuarantine::usableReports() const
{
    std::map<std::uint32_t, std::vector<std::uint64_t>> reportsByEndpoint;
    for (const auto& [report, run] : this->reports)
        reportsByEndpoint[run.endpoint].push_back(report);
    std::set<std::uint64_t> usable;
    for (const auto& [endpoint, reportsOfEndpoint] : reportsByEndpoint) {
        if (!this->areUnrelated(reportsOfEndpoint))
            usable.insert(reportsOfEndpoint.begin(), reportsOfEndpoint.end());
    }
    return usable;
}

bool PromptPartQuarantine::isExplained(const BrokenRun& run, const Group& group) const
{
    return std::any_of(group.reports.begin(), group.reports.end(), [&](std::uint64_t report) {
        const BrokenRun& culprit = this->reports.at(report);
        return culprit.endpoint == run.endpoint && std::chrono::abs(run.at - culprit.at) < simultaneousDeaths;
    });
}

void PromptPartQuarantine::updateGroups()
{
    std::set<std::uint64_t> unexplained = this->usableReports();
    std::vector<Group> found;
    while (auto group = this->findGroup(unexplained)) {
        std::erase_if(
            unexplained, [&](std::uint64_t report) { return this->isExplained(this->reports.at(report), *group); });
        const bool isKnown = std::any_of(
            this->groups.begin(), this->groups.end(), [&](const Group& known) { return known.parts == group->parts; });
        if (!isKnown)
            this->newlyQuarantined.push_back(group->parts);
        found.push_back(std::move(*group));
    }
    this->groups = std::move(found);
}

Milliseconds PromptPartQuarantine::remainingQuarantine(const Parts& parts, Instant now) const
{
    Instant expiresAt = now;
    for (const Group& group : this->groups) {
        if (containsAll(parts, group.parts))
            expiresAt = std::max(expiresAt, group.expiresAt);
    }
    return std::chrono::ceil<Milliseconds>(expiresAt - now);
}

bool PromptPartQuarantine::isSuspect(const Parts& parts) const
{
    const std::set<std::uint64_t> usable = this->usableReports();
    return std::any_of(parts.begin(), parts.end(),
        [&](PromptPartId part) { return this->countDeaths(this->reportsOf(part, usable)) >= suspectDeaths; });
}

std::vector<PromptPartQuarantine::Parts> PromptPartQuarantine::takeQuarantined()
{
    return std::exchange(this->newlyQuarantined, {});
}

void PromptPartQuarantine::addEvidence(PromptPartEvidence& evidence, std::uint64_t report, Instant now) const
{
    const bool isAdded = std::any_of(evidence.brokenStarts.begin(), evidence.brokenStarts.end(),
        [&](const auto& start) { return start.report == report; });
    if (isAdded || evidence.brokenStarts.size() == maxSentReports)
        return;
    const BrokenRun& run = this->reports.at(report);
    evidence.brokenStarts.push_back({ report, run.endpoint, ageOf(run.at, now), run.parts });
}

void PromptPartQuarantine::addSurvivals(PromptPartEvidence& evidence, Instant now) const
{
    std::map<PromptPartId, std::size_t> reportCounts;
    for (const auto& [report, run] : this->reports) {
        for (const PromptPartId part : run.parts)
            ++reportCounts[part];
    }
    std::vector<std::pair<std::size_t, PromptPartEvidence::Survival>> needed;
    for (const auto& [part, count] : reportCounts) {
        const auto survival = this->survivals.find(part);
        if (survival != this->survivals.end() && survival->second.isOwn)
            needed.push_back({ count, { part, ageOf(survival->second.at, now) } });
    }
    std::ranges::sort(needed, std::greater<> {}, [](const auto& entry) { return entry.first; });
    for (const auto& [count, survival] : needed) {
        if (evidence.survivals.size() < maxSentSurvivals)
            evidence.survivals.push_back(survival);
    }
}

PromptPartEvidence PromptPartQuarantine::recentEvidence(Instant now) const
{
    PromptPartEvidence evidence;
    std::vector<std::pair<Instant, std::uint64_t>> newestFirst;
    for (const auto& [report, run] : this->reports) {
        if (run.isOwn && now - run.at < announcementTime && !this->suspectedParts(run).empty())
            newestFirst.emplace_back(run.at, report);
    }
    std::ranges::sort(newestFirst, std::greater<> {});
    for (const auto& [at, report] : newestFirst)
        this->addEvidence(evidence, report, now);
    this->addSurvivals(evidence, now);
    return evidence;
}

PromptPartEvidence PromptPartQuarantine::allEvidence(Instant now) const
{
    PromptPartEvidence evidence = this->recentEvidence(now);
    std::vector<std::uint64_t> others;
    for (const Group& group : this->groups) {
        std::vector<std::uint64_t> deaths = this->selectDeaths(group.reports);
        deaths.resize(std::min<std::size_t>(deaths.size(), quarantineDeaths));
        for (const std::uint64_t report : deaths)
            this->addEvidence(evidence, report, now);
        others.insert(others.end(), group.reports.begin(), group.reports.end());
    }
    // The rest tells receivers which parts all of the runs share. Other reports are sent each second until all were.
    const auto begin = static_cast<std::size_t>(std::chrono::floor<Seconds>(now).time_since_epoch().count());
    for (std::size_t index = 0; index < others.size(); ++index)
        this->addEvidence(evidence, others[(begin * maxSentReports + index) % others.size()], now);
    return evidence;
}

}
