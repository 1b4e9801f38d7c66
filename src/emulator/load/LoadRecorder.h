#pragma once

#include "emulator/load/Distribution.h"
#include "emulator/load/Workload.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace teaselfold {

/** Outcomes of a group of requests. */
struct Tally {
    std::uint64_t sent { 0 };
    /** Whole answers. */
    std::uint64_t completed { 0 };
    /** Whole answers within their deadline. */
    std::uint64_t onTime { 0 };
    /** Told that they did not run. */
    std::uint64_t refused { 0 };
    /** Ended by an explicit error after they may have run. */
    std::uint64_t failed { 0 };
    /** Ended without a whole answer and without an explicit error. */
    std::uint64_t lost { 0 };
    /** Answers with a repeated, missing or foreign token. */
    std::uint64_t corrupt { 0 };
    std::uint64_t tokens { 0 };
    /** Sum of what gaps between tokens exceed the class's target by. */
    Duration stall { 0 };
    Distribution interTokenLatency;
    Distribution timeToFirstToken;

    void merge(const Tally& other);
};

/** Outcomes of the requests whose first token came from one endpoint. */
struct EndpointTally {
    Tally tally;
    /** When each of these requests was due, in order of their first tokens. */
    std::vector<Instant> sendTimes;
};

/** How one request's answer went wrong or right, for the recorder. */
enum class AnswerOutcome : std::uint8_t {
    Completed,
    Refused,
    Failed,
    Lost,
};

/**
 * Follows the answers of many requests and checks each: indices in order, one generation. Not thread safe. The
 * requests are addressed by the caller's numbers.
 */
class LoadRecorder {
public:
    explicit LoadRecorder(std::vector<RequestKind> kinds)
        : kinds(std::move(kinds))
    {
    }

    void recordSend(std::uint64_t request, const TeamId& team, std::uint32_t kind, Instant now);
    void recordToken(std::uint64_t request, std::uint32_t index, const std::string& text, Instant now);
    /** Names the endpoint whose tokens follow; the first named one counts. */
    void recordEndpoint(std::uint64_t request, const EndpointId& endpoint);
    /** The answer starts over, as the caller asked for; what came before is void. */
    void recordRestart(std::uint64_t request);
    void recordEnd(std::uint64_t request, AnswerOutcome outcome, Instant now);
    /** Counts what is still open as lost. */
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
        /** Unnamed until the first token came. */
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
