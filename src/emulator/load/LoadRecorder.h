#pragma once

#include "emulator/load/Distribution.h"
#include "emulator/load/Workload.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace teaselfold {

/** Outcome counters and latencies of a group of requests. */
struct Tally {
    std::uint64_t sent { 0 };
    /** Complete answers. */
    std::uint64_t completed { 0 };
    /** Complete answers that ended within their deadline. */
    std::uint64_t onTime { 0 };
    /** Answered by an error that says that the request did not run. */
    std::uint64_t refused { 0 };
    /** Answered by an error after which the request may have run. */
    std::uint64_t failed { 0 };
    /** Ended with neither a complete answer nor an error. */
    std::uint64_t lost { 0 };
    /** Answers with a repeated or missing token or one of another generation. Reported as `doubled`. */
    std::uint64_t corrupt { 0 };
    std::uint64_t tokens { 0 };
    /** Sum over all gaps between tokens of the time by which the gap exceeds the target of its request kind. */
    Duration stall { 0 };
    Distribution interTokenLatency;
    Distribution timeToFirstToken;

    void merge(const Tally& other);
};

/** Outcomes of the requests whose first token one endpoint produced. */
struct EndpointTally {
    Tally tally;
    /** Scheduled send times of these requests, in the order of their first tokens. */
    std::vector<Instant> sendTimes;
};

/** How the answer to one request ended; see the counters of Tally. */
enum class AnswerOutcome : std::uint8_t {
    Completed,
    Refused,
    Failed,
    Lost,
};

/**
 * Records the answers to many concurrent requests and checks that the tokens of each answer have consecutive indices
 * and belong to one generation. Requests are identified by numbers that the user of the class assigns. Not thread safe.
 */
class LoadRecorder {
public:
    explicit LoadRecorder(std::vector<RequestKind> kinds)
        : kinds(std::move(kinds))
    {
    }

    void recordSend(std::uint64_t request, const TeamId& team, std::uint32_t kind, Instant now);
    void recordToken(std::uint64_t request, std::uint32_t index, const std::string& text, Instant now);
    /** Attributes a request to an endpoint. Only the first call for a request has an effect. */
    void recordEndpoint(std::uint64_t request, const EndpointId& endpoint);
    /** Expects the tokens of an answer to start again from index 0, as after an engine loss with restart. */
    void recordRestart(std::uint64_t request);
    void recordEnd(std::uint64_t request, AnswerOutcome outcome, Instant now);
    /** Counts all open answers as lost. */
    void closeOpenAnswers(Instant now);

    std::size_t openCount() const { return this->answers.size(); }
    bool isOpen(std::uint64_t request) const { return this->answers.contains(request); }
    const std::map<PriorityClass, Tally>& byClass() const { return this->classes; }
    const std::map<TeamId, Tally>& byTeam() const { return this->teams; }
    const std::map<EndpointId, EndpointTally>& byEndpoint() const { return this->endpoints; }
    Tally total() const;

private:
    struct Answer {
        TeamId team;
        std::uint32_t kind { 0 };
        Instant sentAt;
        Instant lastToken;
        /** Empty until recordEndpoint. */
        EndpointId endpoint;
        std::uint32_t tokens { 0 };
        std::string generationMark;
        bool corrupt { false };
    };

    template <typename Change> void updateTallies(const Answer& answer, Change change);

    std::vector<RequestKind> kinds;
    std::unordered_map<std::uint64_t, Answer> answers;
    std::map<PriorityClass, Tally> classes;
    std::map<TeamId, Tally> teams;
    std::map<EndpointId, EndpointTally> endpoints;
};

}
