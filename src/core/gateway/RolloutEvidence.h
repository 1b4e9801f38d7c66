#pragma once

#include "ports/Ids.h"
#include "ports/PeerMessages.h"
#include "ports/Time.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace teaselfold {

/** One answer to a request of a service that is being rolled out. */
struct RolloutAnswer {
    /** Hash of the endpoint's id; zero for an endpoint of a previous version. */
    std::uint32_t endpoint { 0 };
    /** Hash of the route and of what was measured. */
    std::uint32_t route { 0 };
    /** Unset if the answer is a failure. */
    std::optional<Duration> time;
};

/** Answers and requests of all gateways since a roll-out began, as far as they are known to this one. */
class RolloutEvidence {
public:
    /** Numbers of requests of all gateways. */
    struct Requests {
        double total { 0 };
        double toTarget { 0 };
        /** Requests in progress at endpoints of previous versions. */
        std::uint64_t runsAtPrevious { 0 };
    };

    /** Counts a request to an endpoint. @param isFirst false for a repeat or a resumption of a request. */
    void recordSent(bool isFirst, bool isToTarget);
    void record(const RolloutAnswer& answer);
    /** Replaces what the sender reported before. An incarnation that ended keeps what it reported last. */
    void merge(Incarnation sender, const RolloutReport& report);
    /** Remembers the present counts, so that later ones can be compared with them. Called periodically. */
    void remember(Instant now);

    /** @param ownRunsAtPrevious this gateway's requests in progress at endpoints of previous versions. */
    Requests requests(std::uint32_t ownRunsAtPrevious) const;
    /** @return the sums over all gateways. */
    std::vector<RolloutCounts> counts() const;
    /** @return the sums over all gateways since a moment a few seconds ago, or since the beginning. */
    std::vector<RolloutCounts> recentCounts() const;
    /** @return the time beyond which an answer of the route counts as slow; unset while too few answers are known. */
    std::optional<Duration> slowThreshold(std::uint32_t route) const;
    /** Adds this gateway's numbers to a report, within its maximum size. */
    void describe(RolloutReport& report) const;

private:
    /** Endpoint and route. */
    using Key = std::pair<std::uint32_t, std::uint32_t>;
    using CountTable = std::map<Key, RolloutCounts>;
    struct Snapshot {
        Instant takenAt;
        CountTable counts;
    };

    static void add(CountTable& table, const RolloutCounts& counts);
    CountTable totals() const;

    std::uint32_t ownRequests { 0 };
    std::uint32_t ownRequestsToTarget { 0 };
    CountTable ownCounts;
    std::map<Incarnation, RolloutReport> reports;
    std::deque<Snapshot> snapshots;
};

}
