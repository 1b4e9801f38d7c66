#pragma once

#include "core/entry/Dispatcher.h"

#include <optional>

namespace teaselfold {

/** Checks new requests against the configuration and this entry's limits, and begins those that pass. */
class RequestAdmission {
public:
    RequestAdmission(RouterState& state, Dispatcher& dispatcher)
        : state(state)
        , dispatcher(dispatcher)
    {
    }

    void admitCompletion(const CompletionRequest& request, Instant now);
    void admitCall(const ServiceCallRequest& request, Instant now);
    /** Attaches to a stream at the endpoint that its token names, opening a link when there is none. */
    void admitResume(const StreamResumeRequest& request, Instant now);

private:
    std::optional<Failure> refusalFor(const LiveRequest& request, Instant now) const;
    std::optional<Failure> loadRefusalFor(const LiveRequest& request) const;
    /** Stores the request, or refuses it. @return the stored one, or nullptr. */
    LiveRequest* admit(LiveRequest request, Instant now);
    LiveRequest makeRequest(RequestId request, const TeamId& team, Milliseconds budget, Instant now) const;
    void makeAtMostOnce(ServiceWork& work) const;

    RouterState& state;
    Dispatcher& dispatcher;
};

}
