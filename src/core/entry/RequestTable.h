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
    RequestId request;
    TeamId team;
    ServiceId service;
    PriorityClass priority { PriorityClass::Standard };
    Fingerprint fingerprint;
    RequestOrigin origin;
    Instant begun;
    Instant deadline;
    std::uint32_t attempts { 0 };
    /** The worst outcome of all attempts so far. */
    Executed run { Executed::No };
    /** Endpoints that refused or lost it. */
    std::set<EndpointId> avoided;
    /** True while it waits for the retry budget or an endpoint to be run afresh. */
    bool waiting { false };
    /** True when the next attempt must still be taken from the retry budget. */
    bool retryOwed { false };
    /** True once tokens shown to the caller are void; it is told of each further attempt. */
    bool restarted { false };

    // The present attempt.
    GenerationId generation;
    EndpointId endpoint;
    bool confirmed { false };
    bool started { false };
    /** Index of the next token to take from the agent. */
    std::uint32_t nextIndex { 0 };
    /** Tokens below it reached the caller's connection. */
    std::uint32_t consumed { 0 };
    /** True when tokens were dropped because the caller is slow; they are asked for again. */
    bool held { false };
    /** True once a stream's caller was given tokens of this generation. */
    bool shown { false };
    std::string text;
    std::optional<Instant> lastTokenAt;
};

/** All requests in progress at this entry, with counts per team and service. */
class RequestTable {
public:
    /** @return the stored request; the reference holds until it is removed. */
    LiveRequest& add(LiveRequest request);
    LiveRequest* find(RequestId request);
    LiveRequest* findGeneration(GenerationId generation);
    /** Starts a new attempt under this id; the former attempt's id is unknown from then on. */
    void assign(LiveRequest& request, GenerationId generation, const EndpointId& endpoint);
    /** Ends the present attempt. */
    void unassign(LiveRequest& request);
    void remove(RequestId request);

    std::size_t inProgress(const TeamId& team) const;
    std::size_t inProgress(const ServiceId& service) const;
    /** @return requests whose present attempt is at the endpoint, in ascending order. */
    std::vector<RequestId> at(const EndpointId& endpoint) const;
    bool anyAt(const EndpointId& endpoint) const;
    /** @return requests whose deadline has passed. */
    std::vector<RequestId> overdue(Instant now) const;
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
