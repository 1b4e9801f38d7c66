#pragma once

#include "core/entry/EndpointChooser.h"
#include "core/entry/RouterState.h"

namespace teaselfold {

/** Dispatches requests to endpoints, retries failed attempts where that is allowed, and ends requests. */
class Dispatcher {
public:
    explicit Dispatcher(RouterState& state)
        : state(state)
        , chooser(state)
    {
    }

    /** Starts the first attempt of a stored request, or fails it when no endpoint is available. */
    void begin(LiveRequest& request, Instant now);
    /** Handles a refused attempt, which did not run: retries at another endpoint or sends the refusal to the caller. */
    void attemptRefused(LiveRequest& request, const Failure& refusal, Instant now);
    /**
     * Handles an attempt that was interrupted. A request that has delivered no tokens is retried once the retry budget
     * and an endpoint allow it; a generation that has delivered tokens fails or restarts as its caller chose.
     * At-most-once calls and resumed streams fail.
     * @param failure the cause, and whether the attempt ran.
     */
    void attemptLost(LiveRequest& request, const Failure& failure, Instant now);
    /** Tries to dispatch each request that waits for the retry budget or an endpoint. */
    void dispatchWaiting(Instant now);
    /** Lets waiting requests that lost an attempt at this endpoint run there again, now that it accepts work. */
    void clearExclusion(const EndpointId& endpoint);
    /** Sends the failure to the caller and removes the request. */
    void fail(LiveRequest& request, Failure failure, Instant now);
    /** Removes the request; records its duration when `metric` is Completed. */
    void end(LiveRequest& request, Metric metric, Instant now);
    /** Asks the agent to cancel the current attempt. Calls to plain services cannot be cancelled. */
    void cancelAttempt(const LiveRequest& request);
    /** @return how long a refused caller of this priority class should wait before it retries. */
    Milliseconds retryAfter(PriorityClass priority) const;
    const EndpointChooser& endpointChooser() const { return this->chooser; }

private:
    /** Dispatches the request, taking a retry from the budget first when it needs one. */
    void tryDispatch(LiveRequest& request, Instant now);
    /** Takes one retry from the budget. @return false if the request must not be retried now. */
    bool withdrawRetry(LiveRequest& request, Instant now);
    /** Submits the request to an endpoint. @return false if no endpoint is available. */
    bool dispatch(LiveRequest& request, Instant now);
    void submit(LiveRequest& request, const EndpointId& endpoint, Instant now);
    /** Detaches the request from its attempt and removes the attempt from the endpoint's load estimate. */
    void releaseAttempt(LiveRequest& request);

    RouterState& state;
    EndpointChooser chooser;
};

/** @return the greater of two values, which are ordered no, unknown, yes. */
Executed maxExecuted(Executed left, Executed right);

}
