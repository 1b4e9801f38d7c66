#pragma once

#include "ports/PeerMessages.h"
#include "ports/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace teaselfold {

/**
 * The request rate that an endpoint takes from all gateways together, as stated in its answers, and a token bucket for
 * this gateway's share of it. Without a stated rate there is no limit.
 */
class RateLimit {
public:
    /** @param initialCredit requests that may be sent at once when a rate is first stated, from 0 to 1. */
    explicit RateLimit(double initialCredit = 0)
        : initialCredit(initialCredit)
        , credit(initialCredit)
    {
    }

    /**
     * Records what the endpoint stated, to this gateway or to another one. Ignored if a newer statement is known.
     * @param requestsPerSecond unset if the endpoint's answer named no limit.
     * @return true if the rate changed.
     */
    bool state(std::optional<double> requestsPerSecond, Instant at, Instant now);
    /** @return the stated rate in requests per second; unset without a limit. */
    std::optional<double> stated() const { return this->requestsPerSecond; }
    /** @return true if the endpoint had a limit and then stated that it has none. */
    bool wasLifted() const { return this->lifted; }
    /** @return when the endpoint last stated whether it has a limit; unset if it never did. */
    std::optional<Instant> statedAt() const { return this->lastStatedAt; }

    /**
     * Adds the credit for the time since the last call.
     * @param share this gateway's share of the rate, from 0 to 1.
     */
    void refill(double share, Instant now);
    /**
     * Bounds the credit that was saved up, before a request may use it.
     * @param share this gateway's share of the rate, from 0 to 1.
     * @param gatewayCount number of gateways, including this one, that share the rate.
     */
    void limitSaved(double share, std::size_t gatewayCount, Instant now);
    /** Counts a request that was sent; may leave a debt, which later requests wait for. */
    void spend() { this->credit -= this->requestsPerSecond ? 1 : 0; }
    /**
     * @param debt requests that may be sent beyond the credit, for what would be lost otherwise.
     * @return true if another request may be sent.
     */
    bool allows(double debt = 0) const { return !this->requestsPerSecond || this->credit + debt >= 1; }
    /** @return the time until a request may be sent at the given share; zero if it may be sent now. */
    Duration timeUntilAllowed(double share) const;
    /** @return the time between two requests at the given share; unset without a limit. */
    std::optional<Duration> interval(double share) const;

    /** @return the requests per second that all gateways together may send to an endpoint with a limit. */
    double rate() const;

private:
    /** @return the requests that this gateway may send at once at the given share. */
    double burst(double share) const;
    /** @return true if this gateway may use a request that it saved up. */
    bool drawSaved(std::size_t gatewayCount);

    double initialCredit { 0 };
    std::optional<double> requestsPerSecond;
    std::optional<Instant> lastStatedAt;
    bool lifted { false };
    double credit { 0 };
    Instant refilledAt;
    std::uint64_t draws { 0 };
    /** Until then a saved request may be used. */
    Instant savedUntil;
};

}
