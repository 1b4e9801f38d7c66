#pragma once

#include "core/entry/EndpointChooser.h"
#include "core/entry/RouterState.h"

namespace teaselfold {

/** Starts attempts, repeats those that may be repeated, and ends requests. */
class Dispatcher {
public:
    explicit Dispatcher(RouterState& state)
        : state(state)
        , chooser(state)
    {
    }

    /** Starts the first attempt of a stored request, or ends it with a refusal. */
    void begin(LiveRequest& request, Instant now);
    /** The present attempt was refused and never runs: tries elsewhere, or hands the refusal to the caller. */
    void attemptRefused(LiveRequest& request, const Failure& refusal, Instant now);
    /**
     * The present attempt broke off. Unless its caller was shown tokens, a generation is run afresh, waiting for the
     * retry budget and an endpoint; a shown one fails or restarts as its caller chose. A call that must run at most
     * once fails.
     * @param failure why, and whether the attempt ran.
     */
    void attemptLost(LiveRequest& request, const Failure& failure, Instant now);
    /** Tries the requests that wait for the retry budget or an endpoint. */
    void tryWaiting(Instant now);
    /** The endpoint reported that it takes work: requests that lost an attempt there before may run there again. */
    void takesWorkAgain(const EndpointId& endpoint);
    /** Tells the caller why there is no answer and forgets the request. */
    void fail(LiveRequest& request, Failure failure, Instant now);
    /** Forgets the request, counting how long it took when it completed. */
    void end(LiveRequest& request, Metric metric, Instant now);
    /** Asks the agent to stop the present attempt. Calls to plain services cannot be stopped. */
    void cancelAttempt(const LiveRequest& request);
    /** @return what a refused caller of this class should wait. */
    Milliseconds retryAfter(PriorityClass priority) const;
    const EndpointChooser& endpoints() const { return this->chooser; }

private:
    void tryOne(LiveRequest& request, Instant now);
    bool mayRetry(LiveRequest& request, Instant now);
    bool dispatch(LiveRequest& request, Instant now);
    void submit(LiveRequest& request, const EndpointId& endpoint, Instant now);
    void leaveAttempt(LiveRequest& request);

    RouterState& state;
    EndpointChooser chooser;
};

/** @return the worse of two outcomes of attempts: yes before unknown before no. */
Executed worseRun(Executed left, Executed right);

}
