#pragma once

#include "core/entry/Dispatcher.h"

#include <optional>

namespace teaselfold {

/** Admission control: checks new requests against the configuration and limits, and dispatches the admitted ones. */
class RequestAdmission {
public:
    RequestAdmission(RouterState& state, Dispatcher& dispatcher)
        : state(state)
        , dispatcher(dispatcher)
    {
    }

    void admitCompletion(const CompletionRequest& request, Instant now);
    void admitCall(const ServiceCallRequest& request, Instant now);
    /** Attaches the caller to the stream named by the resume token; its endpoint may not have a link yet. */
    void admitResume(const StreamResumeRequest& request, Instant now);

private:
    /** @return the refusal for a reason other than a limit, or nullopt. */
    std::optional<Failure> refusalFor(const LiveRequest& request, Instant now) const;
    /** @return the refusal when a limit on requests in progress is reached, or nullopt. */
    std::optional<Failure> limitRefusalFor(const LiveRequest& request) const;
    /** Stores the request or refuses it. @return the stored request, or nullptr when it was refused. */
    LiveRequest* admit(LiveRequest request, Instant now);
    LiveRequest makeRequest(RequestId request, const TeamId& team, Milliseconds budget, Instant now) const;
    /** Marks calls that must not be repeated as at-most-once, and gives them an idempotency key if they lack one. */
    void makeAtMostOnce(ServiceWork& work) const;

    RouterState& state;
    Dispatcher& dispatcher;
};

}
