#pragma once

#include "ports/Time.h"

#include <cstdint>

namespace teaselfold {

/** Bounds of a gateway's decisions. The deployment's settings give those that its platform promises. */
struct GatewayLimits {
    /** Longest age of the last reading of the configuration with which a key may be accepted. From the settings. */
    Milliseconds maxKeyStaleness { 4500 };
    /** Age of the last reading beyond which a missing route or key may just be news that is late. */
    Milliseconds maxDenialStaleness { 1800 };
    /** After an outage of the store, time for endpoints whose records lapsed to write them again. Platform's promise.
     */
    Milliseconds reregistrationGrace { 2000 };
    /** Readings that fail for so long are an outage of the store; one lost answer is not. */
    Milliseconds outageThreshold { 500 };
    /** Retries per new request. The platform's ratio, less a margin for requests that are counted elsewhere. */
    double retryBudgetRatio { 0.15 };
    /** Retries that all instances together may send in each window whatever their traffic. From the settings. */
    double retryHeadroom { 50 };
    Milliseconds retryWindow { 10000 };
    /** Part of a common allowance that is used; the rest covers instances that are not heard of yet. */
    double sharedQuotaFraction { 0.8 };
    /** Instances that share the allowances as long as their list is not known. */
    std::size_t assumedInstances { 8 };
    /** An instance that was silent for so long, and for twice its period of full news, says nothing any more. */
    Milliseconds peerTimeout { 6000 };
    /** Shortest time between two full words to the other instances. */
    Milliseconds minFullGossipInterval { 500 };
    /** Time between two full words for each receiver; they then take about a fifth of the bytes for news. */
    Milliseconds fullGossipIntervalPerReceiver { 150 };
    /** Bytes of news that an instance sends. Of the target of 21 KB/s a node for control; the rest is for the store. */
    double gossipBytesPerSecond { 17000 };
    /** What a cold endpoint bears, as a multiple of its stated rate, and beyond it. From the settings. */
    double coldFactor { 1.5 };
    double coldHeadroom { 5 };
    /** Requests that wait for an endpoint are refused after this part of their latency objective. */
    double queueWaitFraction { 0.125 };
    /** Suggested to callers whose request found no endpoint; about the time in which new endpoints appear. */
    Milliseconds retryAfter { 300 };
    /** Time for which an endpoint that failed several requests in a row gets none but trials. */
    Milliseconds ejectionTime { 2000 };
    /** Failures in a row after which an endpoint is ejected. */
    std::uint32_t ejectionFailures { 3 };
    /** A report of load counts for so long after its arrival. */
    Milliseconds maxLoadReportAge { 1500 };
    /** After an order to stop, new requests are served for so long: a balancer takes two probes to look elsewhere. */
    Milliseconds drainDelay { 2600 };
    /** The process ends so long after an order to stop, whatever is in progress. From the settings. */
    Milliseconds stopLimit { 7500 };
    /** Shortest deadline with which a request is still sent; less is no use to an endpoint. */
    Milliseconds minDeadline { 20 };

    bool operator==(const GatewayLimits&) const = default;
};

}
