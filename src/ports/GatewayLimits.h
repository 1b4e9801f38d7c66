#pragma once

#include "ports/Time.h"

#include <cstdint>

namespace teaselfold {

/** Limits and timeouts of a gateway. Those that depend on guarantees of the platform come from the settings. */
struct GatewayLimits {
    /** Maximum age of the last read of the configuration at which an API key may be accepted. From the settings. */
    Milliseconds maxKeyStaleness { 4500 };
    /** Beyond this age of the last read, a missing route or key may be due to a stale configuration. */
    Milliseconds maxDenialStaleness { 1800 };
    /** Time after an outage of the store in which endpoints re-register expired records. Guaranteed by the platform. */
    Milliseconds reregistrationGrace { 2000 };
    /** Time without readings that counts as an outage; longer than the takeover of a silent reader by another one. */
    Milliseconds outageThreshold { 1700 };
    /**
     * Shortest time from the beginning of an outage to the expiry of a record: the platform removes it after three
     * missed heartbeats, the first of which may have been due when the outage began. A record that disappears earlier
     * was deleted.
     */
    Milliseconds minRecordExpiry { 2000 };
    /** Retries per new request: the platform's ratio minus a margin for requests counted in another window. */
    double retryBudgetRatio { 0.15 };
    /** Retries per window that all gateways together may send regardless of traffic. From the settings. */
    double retryHeadroom { 50 };
    Milliseconds retryWindow { 10000 };
    /** Fraction used of a quota shared by all gateways; the rest covers gateways that are not discovered yet. */
    double sharedQuotaFraction { 0.8 };
    /** Minimum number of gateways assumed to share a quota while their list is unknown. */
    std::size_t assumedGateways { 8 };
    /** Silence after which a gateway's gossip expires, extended to two full gossip intervals if those are longer. */
    Milliseconds peerTimeout { 6000 };
    /** Minimum interval between two full gossip messages. */
    Milliseconds minFullGossipInterval { 500 };
    /** Full gossip interval per receiver; full messages then use about a fifth of `gossipBytesPerSecond`. */
    Milliseconds fullGossipIntervalPerReceiver { 150 };
    /** Gossip sent by a gateway. The target for control traffic is 21 KB/s per instance; the rest is for the store. */
    double gossipBytesPerSecond { 17000 };
    /** Rate limit of a cold endpoint: its stated rate times `coldFactor`, plus `coldHeadroom`. From the settings. */
    double coldFactor { 1.5 };
    double coldHeadroom { 5 };
    /** Part of a service's requests that a bad new version may get during a roll-out. From the settings. */
    double exposureFraction { 0.1 };
    /** Requests beyond that part. From the settings. */
    double exposureHeadroom { 50 };
    /** Time after its fiftieth bad answer from which a bad version must get no more requests. From the settings. */
    Milliseconds rollbackLimit { 5000 };
    /** Requests waiting for an endpoint are refused after this fraction of their latency objective. */
    double queueWaitFraction { 0.125 };
    /** Retry-After for requests that found no endpoint; about the time until new endpoints are discovered. */
    Milliseconds retryAfter { 300 };
    /** Time for which an ejected endpoint receives requests only if its service has no other endpoint. */
    Milliseconds ejectionTime { 2000 };
    /** Consecutive failures after which an endpoint is ejected. */
    std::uint32_t ejectionFailures { 3 };
    /** Load reports older than this are ignored. */
    Milliseconds maxLoadReportAge { 1500 };
    /** Time after a stop request in which all new requests are accepted: a load balancer needs two probes to react. */
    Milliseconds drainDelay { 2600 };
    /** Requests in progress are ended this long after a stop request. From the settings. */
    Milliseconds stopLimit { 7500 };
    /** Time for writing the responses that are queued at the stop limit. */
    Milliseconds responseFlushTime { 200 };
    /** Minimum remaining time for a retry; an endpoint could not respond in less. */
    Milliseconds minDeadline { 20 };

    bool operator==(const GatewayLimits&) const = default;
};

}
