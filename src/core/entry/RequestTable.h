#pragma once

#include "ports/CallerMessages.h"

#include <map>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace teaselfold {

using RequestOrigin = std::variant<CompletionRequest, ServiceCallRequest, StreamResumeRequest>;

/** One caller's request in progress. */
struct LiveRequest {
    RequestId id;
    TeamId team;
    ServiceId service;
    PriorityClass priority { PriorityClass::Standard };
    Fingerprint fingerprint;
    RequestOrigin origin;
    Instant receivedAt;
    Instant deadline;
    std::uint32_t attempts { 0 };
    /** Whether any attempt so far has run: the maximum of their outcomes by `maxExecuted`. */
    Executed run { Executed::No };
    /** Endpoints that refused or lost the request and are not chosen for its next attempt. */
    std::set<EndpointId> excludedEndpoints;
    /** True while a retry waits for the retry budget or an endpoint. */
    bool waiting { false };
    /** True when the next attempt must first take a retry from the budget. */
    bool needsRetryBudget { false };
    /** True once a retry made delivered tokens invalid; the caller is sent a CallerRestart for each further attempt. */
    bool restarted { false };

    // The current attempt.
    GenerationId generation;
    EndpointId endpoint;
    bool accepted { false };
    bool started { false };
    /** Index of the next token expected from the agent. */
    std::uint32_t nextIndex { 0 };
    /** The caller's connection took all tokens below this index. */
    std::uint32_t consumed { 0 };
    /** True when tokens were dropped because the caller is slow; they are requested again later. */
    bool flowPaused { false };
    /** True once tokens of this generation were sent to the caller of a stream. */
    bool tokensDelivered { false };
    /** The text received so far, for an answer that is not streamed. */
    std::string text;
    std::optional<Instant> lastTokenAt;
};

/** The requests in progress at this entry, with counts per team and per service. */
class RequestTable {
public:
    /** @return the stored request. The reference is valid until the request is removed. */
    LiveRequest& add(LiveRequest request);
    LiveRequest* find(RequestId request);
    LiveRequest* findGeneration(GenerationId generation);
    /** Starts a new attempt with this id; the id of the previous attempt can no longer be looked up. */
    void assign(LiveRequest& request, GenerationId generation, const EndpointId& endpoint);
    /** Ends the current attempt and resets its state. */
    void unassign(LiveRequest& request);
    void remove(RequestId request);

    std::size_t inProgress(const TeamId& team) const;
    std::size_t inProgress(const ServiceId& service) const;
    /** @return the requests whose current attempt is at the endpoint, in ascending order. */
    std::vector<RequestId> requestsAt(const EndpointId& endpoint) const;
    bool hasRequestsAt(const EndpointId& endpoint) const;
    /** @return the requests whose deadline has passed. */
    std::vector<RequestId> pastDeadline(Instant now) const;
    std::vector<RequestId> waiting() const;
    bool empty() const { return this->requests.empty(); }
    std::size_t size() const { return this->requests.size(); }

private:
    std::unordered_map<RequestId, LiveRequest> requests;
    std::unordered_map<GenerationId, RequestId> generations;
    std::map<EndpointId, std::set<RequestId>> byEndpoint;
    std::set<std::pair<Instant, RequestId>> deadlines;
    std::map<TeamId, std::size_t> teamCounts;
    std::map<ServiceId, std::size_t> serviceCounts;
};

}
