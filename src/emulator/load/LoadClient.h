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

/** Entries that receive the load, and the options of the connections. */
struct LoadTarget {
    std::vector<Address> entries;
    /** Token for the Authorization header; empty to omit the header. */
    std::string bearerToken;
    /** Whether requests ask for a new generation if their engine is lost. */
    bool restartOnLoss { false };
    /** Time without data after which a connection counts as lost and its stream is resumed at the next entry. */
    Milliseconds readTimeout { 30000 };
};

/** One request to send. */
struct LoadJob {
    /** Number of the request within the run. */
    std::uint64_t request { 0 };
    Arrival arrival;
    /** Scheduled send time. Latencies count from it, so that they include the wait for a client thread. */
    Instant due;
};

struct RequestSent {
    std::uint64_t request { 0 };
    TeamId team;
    std::uint32_t kind { 0 };
    Instant at;
};
/** The first event id of an answer, which contains the endpoint, has been received. */
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

/** Sends requests one at a time and reads each stream to its end; resumes broken streams at the next entry. */
class LoadClient {
public:
    /** @param events receives the events of all streams. */
    LoadClient(const LoadTarget& target, const std::vector<RequestKind>& kinds, const ModelId& model,
        Ring<RecorderEvent>& events)
        : target(target)
        , kinds(kinds)
        , model(model)
        , events(events)
    {
    }

    /** Sends the request of a job and blocks until its answer has ended. */
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
