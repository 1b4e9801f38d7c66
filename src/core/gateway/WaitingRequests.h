#pragma once

#include "ports/GatewayMessages.h"

#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace teaselfold {

/** Requests that the same endpoints can take. */
struct WaitingGroup {
    ServiceId service;
    /** Endpoints that have been tried. */
    std::set<EndpointId> excluded;

    bool operator<(const WaitingGroup& other) const
    {
        return std::tie(this->service, this->excluded) < std::tie(other.service, other.excluded);
    }
};

/** A request that waits for an endpoint. */
struct WaitingRequest {
    RequestId id;
    WaitingGroup group;
    TeamId team;
    /** Zero is the most urgent. */
    std::uint32_t priority { 0 };
    Instant arrivedAt;
    /** Until then it can start and still meet its latency objective. */
    Instant latestStart;
    /** When it has waited for as long as it may. */
    Instant waitsUntil;
    /** The work that it is expected to cause, relative to the other requests of its service. */
    double cost { 1 };
    /** Its caller was turned away before, and has come back when it was told to. */
    bool hasReturned { false };
};

/**
 * Orders the requests that wait for an endpoint: by priority; within a priority the team that has had least goes first;
 * within a team, requests that can still be in time go before late ones, returned callers before new ones, and those
 * with the least slack first. Less urgent requests get a turn after several more urgent ones. The cost of each call
 * does not grow with the number of requests that wait, except by a logarithm. Teams are served by start-time fair
 * queuing: Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996.
 */
class WaitingRequests {
public:
    /** Adds a request; does nothing if it waits already. */
    void add(const WaitingRequest& request);
    /** Removes a request, if it waits. */
    void remove(RequestId request);
    /** Removes a request that is sent to an endpoint, if it waits, and counts its cost against its team. */
    void start(RequestId request);

    bool contains(RequestId request) const { return this->entries.contains(request); }
    std::size_t size() const { return this->entries.size(); }
    /** @return the groups with waiting requests. */
    std::vector<WaitingGroup> groups() const;
    /** @return true if a request of the group with the same or a more urgent priority waits. */
    bool hasBefore(const WaitingGroup& group, std::uint32_t priority) const;
    /** @return the request of the group whose turn it is; unset if none waits. */
    std::optional<RequestId> next(const WaitingGroup& group, Instant now);
    /** @return the requests that have waited for as long as they may. They still wait. */
    std::vector<RequestId> expired(Instant now) const;

private:
    struct Rank {
        bool isNew { false };
        Instant time;
        RequestId id;

        bool operator<(const Rank& other) const
        {
            return std::tie(this->isNew, this->time, this->id) < std::tie(other.isNew, other.time, other.id);
        }
    };
    struct TeamQueue {
        std::set<Rank> inTime;
        /** By arrival. */
        std::set<Rank> late;

        bool isEmpty() const { return this->inTime.empty() && this->late.empty(); }
        const Rank& front() const { return this->inTime.empty() ? *this->late.begin() : *this->inTime.begin(); }
    };
    struct PriorityQueue {
        std::map<TeamId, TeamQueue> teams;
        /** More urgent requests that were started since this priority had its last turn. */
        std::uint32_t passedBy { 0 };
    };
    struct Group {
        std::map<std::uint32_t, PriorityQueue> priorities;
        /** Start tag of the request that was started last. */
        double virtualTime { 0 };
        /** Finish tag of each team's last request. Kept while any request of the group waits. */
        std::map<TeamId, double> finishTags;
    };

    static Rank rankOf(const WaitingRequest& request)
    {
        return { !request.hasReturned, request.latestStart, request.id };
    }
    static Rank lateRankOf(const WaitingRequest& request)
    {
        return { !request.hasReturned, request.arrivedAt, request.id };
    }
    static double startTag(const Group& group, const TeamId& team);
    /** Moves requests that cannot be in time any more behind those that can. */
    void separateLate(TeamQueue& queue, Instant now);
    /** @return the priority whose turn it is. */
    static std::uint32_t priorityInTurn(const Group& group);

    std::map<RequestId, WaitingRequest> entries;
    std::map<WaitingGroup, Group> queues;
    std::set<std::pair<Instant, RequestId>> byEnd;
};

}
