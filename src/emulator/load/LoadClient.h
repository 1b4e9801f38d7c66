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
    std::string bearerToken;
    /** Whether streams ask for a new generation when their engine dies. */
    bool restartOnLoss { false };
    /** Longest silence on a connection before the caller resumes elsewhere. */
    Milliseconds readTimeout { 30000 };
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
struct EndpointIdentified {
    std::uint64_t request { 0 };
    EndpointId endpoint;
};
struct TokenReceived {
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
    AnswerOutcome outcome { AnswerOutcome::Lost };
    Instant at;
};
using RecorderEvent = std::variant<RequestSent, EndpointIdentified, TokenReceived, AnswerRestarted, AnswerEnded>;

/** Sends requests one after the other and reads their streams to the end, as a careful caller would. */
class LoadClient {
public:
    /** @param events gets what the streams deliver. */
    LoadClient(const LoadTarget& target, const std::vector<RequestKind>& kinds, const ModelId& model,
        Ring<RecorderEvent>& events)
        : target(target)
        , kinds(kinds)
        , model(model)
        , events(events)
    {
    }

    /** Serves one job; returns when its answer ended. */
    void run(const LoadJob& job);

private:
    enum class AttemptResult : std::uint8_t { Finished, NotSent, ConnectionLost };

    AttemptResult submit(const LoadJob& job, const Address& entry);
    AttemptResult resume(const LoadJob& job, const Address& entry);
    AttemptResult readAnswer(const LoadJob& job, const Poco::Net::HTTPResponse& response, std::istream& in);
    AttemptResult readStream(const LoadJob& job, std::istream& in);
    void onEventId(const LoadJob& job, const std::string& eventId);
    void readToken(const LoadJob& job, const std::string& data);
    AttemptResult finish(const LoadJob& job, AnswerOutcome outcome);
    std::string requestBody(const LoadJob& job) const;

    const LoadTarget& target;
    const std::vector<RequestKind>& kinds;
    const ModelId& model;
    Ring<RecorderEvent>& events;
    /** Id of the last event of the current answer. */
    std::string lastEventId;
};

}
