#include "support/Invariants.h"
#include "support/SeededRandomness.h"
#include "support/Story.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>

using namespace teaselfold;
using namespace teaselfold::testing;

namespace {

using Words = std::vector<std::string>;

constexpr std::uint64_t seedsInCi = 150;
constexpr Milliseconds firstRequest { 2500 };
constexpr Milliseconds lastRequest { 24000 };
constexpr Milliseconds faultsEnd { 30000 };
/** All requests have ended by then; engines that a request crashed after `faultsEnd` are started again. */
constexpr Milliseconds requestsEnd { 46000 };
constexpr Milliseconds finalRequests { 50000 };
constexpr Milliseconds sessionEnd { 110000 };
constexpr Milliseconds minFaultDuration { 100 };
constexpr Milliseconds maxFaultDuration { 9000 };
constexpr Seconds requestBudget { 20 };
constexpr Seconds resumeBudget { 60 };
/** Time after the deadline of a request within which its caller must get an answer. */
constexpr Seconds answerTolerance { 3 };
constexpr unsigned minFaults = 1;
constexpr unsigned maxFaults = 6;
constexpr unsigned minRequests = 6;
constexpr unsigned maxRequests = 20;
constexpr unsigned warmUpRequests = 60;
constexpr Milliseconds warmUpInterval { 250 };

const Words entries { "x", "y" };
const Words engines { "e1", "e2", "e3" };
const Words services { "s1", "s2" };

/** Generates a story with random requests and faults. All faults end before the final requests, which must succeed. */
class RandomStory {
public:
    explicit RandomStory(std::uint64_t seed)
        : random(seed)
    {
        this->story.seed = seed;
    }

    Story generate()
    {
        this->add(Milliseconds(0), { "start", "x", "y", "e1", "e2", "e3", "s1", "s2" });
        this->addWarmUpRequests();
        this->addRequests();
        this->addFaults();
        this->restartEngines();
        this->addFinalRequests();
        std::ranges::stable_sort(this->story.steps, {}, &Step::at);
        this->story.end = sessionEnd;
        return this->story;
    }

private:
    using Fault = void (RandomStory::*)(Milliseconds, Milliseconds);

    struct StreamCaller {
        std::string name;
        std::string entry;
        Milliseconds readStartedAt;
    };

    std::uint64_t randomBelow(std::uint64_t bound) { return this->random.next() % bound; }
    bool oneIn(std::uint64_t chances) { return this->randomBelow(chances) == 0; }
    const std::string& pick(const Words& words) { return words[this->randomBelow(words.size())]; }
    Milliseconds timeBetween(Milliseconds from, Milliseconds until)
    {
        return from + Milliseconds(this->randomBelow(static_cast<std::uint64_t>((until - from).count()) + 1));
    }
    void add(Milliseconds at, Words words) { this->story.steps.push_back({ at, std::move(words) }); }

    /** Reserves an interval for a fault of a target. @return true if no other fault of the target overlaps it. */
    bool reserve(const std::string& target, Milliseconds from, Milliseconds until)
    {
        auto& reserved = this->reservedIntervals[target];
        const bool isFree = std::ranges::none_of(
            reserved, [&](const auto& span) { return from <= span.second && span.first <= until; });
        if (isFree)
            reserved.emplace_back(from, until);
        return isFree;
    }

    void addRequests()
    {
        const auto count = minRequests + this->randomBelow(maxRequests - minRequests + 1);
        for (std::uint64_t i = 1; i <= count; ++i) {
            const Milliseconds at = this->timeBetween(firstRequest, lastRequest);
            const std::string number = std::to_string(i);
            if (this->oneIn(3))
                this->addCall(at, number);
            else if (this->oneIn(6))
                this->addBurst(at, "b" + number);
            else
                this->addCompletion(at, "c" + number);
        }
    }

    void addCompletion(Milliseconds at, const std::string& caller)
    {
        const std::string entry = this->pick(entries);
        const std::string crash = this->oneIn(15) ? "crash! " : "";
        Words words { caller, "asks", entry, crash + "len=" + std::to_string(1 + this->randomBelow(60)), "budget=20s" };
        if (this->oneIn(2)) {
            words.emplace_back("stream");
            this->streams.push_back({ caller, entry, at });
            if (this->oneIn(2))
                words.emplace_back("restart");
        }
        this->add(at, words);
        if (this->oneIn(8))
            this->add(at + Milliseconds(this->randomBelow(1500)), { caller, "leaves" });
    }

    /** Adds many simultaneous requests of one team. */
    void addBurst(Milliseconds at, const std::string& callers)
    {
        this->add(at,
            { callers, "asks", this->pick(entries), "len=" + std::to_string(1 + this->randomBelow(20)), "budget=20s",
                "times=" + std::to_string(2 + this->randomBelow(12)), "team=musanze" });
    }

    /** Adds short requests that warm up the engines, in half of the stories. */
    void addWarmUpRequests()
    {
        if (this->oneIn(2))
            return;
        for (unsigned i = 0; i < warmUpRequests; ++i)
            this->add(firstRequest + warmUpInterval * i,
                { "warm" + std::to_string(i), "asks", this->pick(entries), "len=3", "budget=20s" });
    }

    void addCall(Milliseconds at, const std::string& number)
    {
        const std::string path = this->oneIn(3) ? "/records" : "/orders";
        const std::string key = path == "/orders" ? "key=k" + number : "key=";
        this->add(at, { "r" + number, "calls", this->pick(entries), path, key, "body=b" + number, "budget=20s" });
        if (path == "/orders" && this->oneIn(2)) {
            this->add(at + Milliseconds(this->randomBelow(6000)),
                { "again" + number, "calls", this->pick(entries), path, key, "body=b" + number, "budget=20s" });
        }
    }

    void addFaults()
    {
        static constexpr Fault faults[] = { &RandomStory::killEntry, &RandomStory::stopEntry, &RandomStory::killAgent,
            &RandomStory::stopAgent, &RandomStory::pauseProcess, &RandomStory::breakLink, &RandomStory::blockLink,
            &RandomStory::killEngine, &RandomStory::disturbEngine, &RandomStory::freezeEngine,
            &RandomStory::holdReports, &RandomStory::disturbPlatform, &RandomStory::loseServiceAnswers };
        const auto count = minFaults + this->randomBelow(maxFaults - minFaults + 1);
        for (std::uint64_t i = 0; i < count; ++i) {
            const Milliseconds from = this->timeBetween(firstRequest, lastRequest);
            const Milliseconds until
                = std::min(faultsEnd, this->timeBetween(from + minFaultDuration, from + maxFaultDuration));
            (this->*faults[this->randomBelow(std::size(faults))])(from, until);
        }
    }

    void killEntry(Milliseconds from, Milliseconds until)
    {
        const std::string& entry = this->pick(entries);
        if (!this->reserve(entry, from, until))
            return;
        this->add(from, { "kill", entry });
        this->add(until, { "start", entry });
        this->resumeStreams(entry, from);
    }

    /** Resumes the streams of a killed entry at the other one. */
    void resumeStreams(const std::string& entry, Milliseconds killed)
    {
        for (const auto& stream : this->streams) {
            const bool running
                = stream.entry == entry && stream.readStartedAt < killed && killed - stream.readStartedAt < Seconds(2);
            if (running && this->resumed.insert(stream.name).second)
                this->add(killed + Milliseconds(this->randomBelow(1000)),
                    { "after-" + stream.name, "resumes", stream.name, "at", entry == "x" ? "y" : "x" });
        }
    }

    void stopEntry(Milliseconds from, Milliseconds until)
    {
        const std::string& entry = this->pick(entries);
        if (!this->reserve(entry, from, until))
            return;
        this->add(from, { "stop", entry });
        this->add(until, { "kill", entry });
        this->add(until, { "start", entry });
    }

    void killAgent(Milliseconds from, Milliseconds until)
    {
        const std::string agent = this->oneIn(3) ? this->pick(services) : this->pick(engines);
        if (!this->reserve(agent, from, until))
            return;
        this->add(from, { "kill", agent });
        this->add(until, { "start", agent });
    }

    void stopAgent(Milliseconds from, Milliseconds until)
    {
        const std::string agent = this->oneIn(3) ? this->pick(services) : this->pick(engines);
        if (!this->reserve(agent, from, until))
            return;
        this->add(from, { this->oneIn(2) ? "stop" : "leaving", agent });
        this->add(until, { "kill", agent });
        this->add(until, { "start", agent });
    }

    void pauseProcess(Milliseconds from, Milliseconds until)
    {
        const Words& kind = this->oneIn(3) ? entries : this->oneIn(3) ? services : engines;
        const std::string& name = this->pick(kind);
        if (!this->reserve(name, from, until))
            return;
        this->add(from, { "pause", name });
        this->add(until, { "continue", name });
    }

    void breakLink(Milliseconds from, Milliseconds)
    {
        const std::string& agent = this->pick(this->oneIn(3) ? services : engines);
        this->add(from, { this->oneIn(2) ? "cut" : "silence", this->pick(entries), agent });
    }

    void blockLink(Milliseconds from, Milliseconds until)
    {
        const std::string& entry = this->pick(entries);
        const std::string& agent = this->pick(this->oneIn(3) ? services : engines);
        if (!this->reserve(entry + "-" + agent, from, until))
            return;
        this->add(from, { "block", entry, agent });
        this->add(until, { "unblock", entry, agent });
    }

    void killEngine(Milliseconds from, Milliseconds until)
    {
        const std::string& engine = this->pick(engines);
        if (!this->reserve("engine@" + engine, from, until))
            return;
        this->add(from, { "engine", engine, "dies" });
        this->add(until, { "engine", engine, "starts" });
    }

    void disturbEngine(Milliseconds from, Milliseconds)
    {
        static const Words faults { "cut", "restarts", "turns-cold" };
        const std::string& engine = this->pick(engines);
        if (this->reserve("engine@" + engine, from, from))
            this->add(from, { "engine", engine, this->pick(faults) });
    }

    void freezeEngine(Milliseconds from, Milliseconds until)
    {
        const std::string& engine = this->pick(engines);
        if (!this->reserve("engine@" + engine, from, until))
            return;
        this->add(from, { "engine", engine, "freezes" });
        this->add(until, { "engine", engine, "thaws" });
    }

    void holdReports(Milliseconds from, Milliseconds until)
    {
        const std::string& engine = this->pick(engines);
        if (!this->reserve("reports@" + engine, from, until))
            return;
        this->add(from, { "engine", engine, "holds-reports" });
        this->add(until, { "engine", engine, "releases-reports" });
    }

    void disturbPlatform(Milliseconds from, Milliseconds until)
    {
        static const Words faults { "down", "slow", "loses-answers" };
        if (!this->reserve("platform", from, until))
            return;
        this->add(from, { "platform", this->pick(faults) });
        this->add(until, { "platform", "up" });
    }

    void loseServiceAnswers(Milliseconds from, Milliseconds until)
    {
        const std::string& service = this->pick(services);
        if (!this->reserve("service@" + service, from, until))
            return;
        this->add(from, { "service", service, "loses" });
        this->add(until, { "service", service, "keeps" });
    }

    void restartEngines()
    {
        for (const auto& engine : engines) {
            this->add(faultsEnd, { "engine", engine, "starts" });
            this->add(requestsEnd, { "engine", engine, "starts" });
        }
    }

    void addFinalRequests()
    {
        this->add(finalRequests, { "fresh1", "asks", "x", "len=5 fresh", "budget=20s" });
        this->add(finalRequests, { "fresh2", "asks", "y", "len=6 fresh", "stream", "budget=20s" });
        this->add(finalRequests, { "fresh3", "calls", "x", "/orders", "key=fresh", "body=fresh", "budget=20s" });
        this->add(finalRequests, { "fresh4", "calls", "y", "/records", "key=", "body=fresh", "budget=20s" });
        this->story.expectations = { { "fresh1", "completion", "count=5" }, { "fresh2", "finished", "count=6" },
            { "fresh3", "answer", "status=201" }, { "fresh4", "answer", "status=201" } };
    }

    SeededRandomness random;
    Story story;
    std::map<std::string, std::vector<std::pair<Milliseconds, Milliseconds>>> reservedIntervals;
    std::vector<StreamCaller> streams;
    std::set<std::string> resumed;
};

/**
 * Finds requests that have no answer `answerTolerance` after their deadline. Time for which the entry is paused extends
 * the deadline.
 */
class AnswerDeadlineCheck {
public:
    std::vector<std::string> findProblems(const Transcript& transcript)
    {
        for (const auto& line : transcript.lines())
            this->update(line);
        for (const auto& [caller, request] : this->pending)
            this->problems.push_back("no answer to " + caller + " at " + request.entry);
        return this->problems;
    }

private:
    struct PendingRequest {
        std::string entry;
        Milliseconds latest;
    };

    void update(const TranscriptLine& line)
    {
        if (line.from == "fault")
            return this->updateProcess(line);
        if (line.event == "leaves")
            this->pending.erase(line.from);
        if (line.event == "asks" || line.event == "calls")
            this->openRequest(line, requestBudget);
        if (line.event == "resumes")
            this->openRequest(line, resumeBudget);
        this->updateAnswer(line);
    }

    void openRequest(const TranscriptLine& line, Milliseconds time)
    {
        if (this->liveProcesses.contains(line.to))
            this->pending[line.from] = { line.to, line.at + time + answerTolerance };
    }

    void updateAnswer(const TranscriptLine& line)
    {
        static const std::set<std::string> finalEvents { "finished", "completion", "answer", "failure" };
        const auto found = this->pending.find(line.to);
        if (found == this->pending.end() || !finalEvents.contains(line.event))
            return;
        if (line.at > found->second.latest)
            this->problems.push_back("late answer to " + line.to + ": " + line.text());
        this->pending.erase(found);
    }

    void updateProcess(const TranscriptLine& line)
    {
        const auto isAtProcess = [&](const auto& row) { return row.second.entry == line.to; };
        if (line.event == "start")
            this->liveProcesses.insert(line.to);
        if (line.event == "kill") {
            this->liveProcesses.erase(line.to);
            std::erase_if(this->pending, isAtProcess);
        }
        if (line.event == "pause")
            this->pausedAt[line.to] = line.at;
        if (line.event != "resume")
            return;
        for (auto& [caller, request] : this->pending) {
            if (request.entry == line.to)
                request.latest += line.at - this->pausedAt[line.to];
        }
    }

    std::vector<std::string> problems;
    std::map<std::string, PendingRequest> pending;
    std::map<std::string, Milliseconds> pausedAt;
    std::set<std::string> liveProcesses;
};

std::vector<std::string> findProblems(const Story& story)
{
    const Transcript transcript = runStory(story);
    std::vector<std::string> problems = findUnmetExpectations(story, transcript);
    for (const auto& violation : findViolations(transcript))
        problems.push_back(violation.invariant + "\n" + violation.line);
    for (auto& problem : AnswerDeadlineCheck().findProblems(transcript))
        problems.push_back(std::move(problem));
    return problems;
}

std::uint64_t numberFromEnvironment(const char* variable, std::uint64_t defaultValue)
{
    const char* text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : defaultValue;
}

void checkSeed(std::uint64_t seed)
{
    const Story story = RandomStory(seed).generate();
    const auto problems = findProblems(story);
    for (const auto& problem : problems)
        FAIL_CHECK("seed " << seed << ": " << problem);
    if (!problems.empty())
        MESSAGE("story of seed " << seed << "\n" << formatStory(story));
}

/** Seeds that violated an invariant in the past. */
constexpr std::uint64_t regressionSeeds[] { 369, 716, 781, 3672, 4696, 5013 };

}

TEST_CASE("random faults of seeds that violated an invariant in the past violate none")
{
    for (const std::uint64_t seed : regressionSeeds)
        checkSeed(seed);
}

TEST_CASE("requests under random faults violate no invariant and get their answers in time")
{
    const std::uint64_t first = numberFromEnvironment("TEASELFOLD_SOAK_FIRST", 1);
    const std::uint64_t count = numberFromEnvironment("TEASELFOLD_SOAK_SEEDS", seedsInCi);
    for (std::uint64_t seed = first; seed < first + count; ++seed)
        checkSeed(seed);
}
