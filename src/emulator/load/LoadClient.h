#pragma once

#include "emulator/load/LoadRecorder.h"
#include "emulator/load/Workload.h"
#include "ports/Fleet.h"
#include "runtime/Ring.h"

#include <Poco/Net/HTTPResponse.h>

#include <istream>
#include <string>
#include <variant>
#include <vector>

namespace teaselfold {

/** Where and as whom the load goes. */
struct LoadTarget {
    std::vector<Address> entries;
    /** Caller's token; empty when none is needed. */
    std::string bearer;
    /** Whether streams ask for a new generation when their engine dies. */
    bool restartOnLoss { false };
    /** Longest silence on a connection before the caller resumes elsewhere. */
    Milliseconds silence { 30000 };
};

/** One request on its way, numbered by the run. */
struct LoadJob {
    std::uint64_t request { 0 };
    Arrival arrival;
    /** When the request was due; waiting for a client thread counts as latency. */
    Instant due;
};

struct RequestSent {
    std::uint64_t request { 0 };
    TeamId team;
    std::uint32_t kind { 0 };
    Instant at;
};
/** The first token of an answer names the endpoint it came from. */
struct EndpointSeen {
    std::uint64_t request { 0 };
    EndpointId endpoint;
};
struct TokenSeen {
    std::uint64_t request { 0 };
    std::uint32_t index { 0 };
    std::string text;
    Instant at;
};
struct AnswerRestarted {
    std::uint64_t request { 0 };
};
struct AnswerEnded {
    std::uint64_t request { 0 };
    AnswerEnd end { AnswerEnd::Lost };
    Instant at;
};
using RecordEvent = std::variant<RequestSent, EndpointSeen, TokenSeen, AnswerRestarted, AnswerEnded>;

/** Sends requests one after the other and reads their streams to the end, as a careful caller would. */
class LoadClient {
public:
    /** @param events gets what the streams deliver. */
    LoadClient(const LoadTarget& target, const std::vector<RequestKind>& kinds, const ModelId& model,
        Ring<RecordEvent>& events)
        : target(target)
        , kinds(kinds)
        , model(model)
        , events(events)
    {
    }

    /** Serves one job; returns when its answer ended. */
    void run(const LoadJob& job);

private:
    enum class Step : std::uint8_t { Ended, TryElsewhere, Broken };

    Step submit(const LoadJob& job, const Address& entry);
    Step resume(const LoadJob& job, const Address& entry);
    Step readAnswer(const LoadJob& job, const Poco::Net::HTTPResponse& response, std::istream& in);
    Step readStream(const LoadJob& job, std::istream& in);
    void takeEventId(const LoadJob& job, const std::string& eventId);
    void readToken(const LoadJob& job, const std::string& data);
    Step finish(const LoadJob& job, AnswerEnd end);
    std::string requestBody(const LoadJob& job) const;

    const LoadTarget& target;
    const std::vector<RequestKind>& kinds;
    const ModelId& model;
    Ring<RecordEvent>& events;
    /** Id of the last event of the current answer. */
    std::string lastEventId;
};

}
