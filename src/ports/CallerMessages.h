#pragma once

#include "ports/LinkMessages.h"

#include <optional>

namespace teaselfold {

/** What a stream does when its engine dies in mid-answer. */
enum class OnEngineLoss : std::uint8_t {
    Fail,
    Restart,
};

/** A caller's request for a completion. */
struct CompletionRequest {
    RequestId request;
    CompletionWork work;
    /** True when tokens go to the caller as they come; false when the answer is sent whole. */
    bool stream { false };
    OnEngineLoss onEngineLoss { OnEngineLoss::Fail };
    /** Time from now to the caller's deadline. */
    Milliseconds budget { 0 };
};

/** Names a stream for a resume at any entry. Bound to the team that began it. */
struct ResumeToken {
    EndpointId endpoint;
    GenerationId generation;
    bool operator==(const ResumeToken&) const = default;
};

/** A caller's wish to go on with a stream after token `nextIndex - 1`. */
struct StreamResumeRequest {
    RequestId request;
    TeamId team;
    ResumeToken token;
    std::uint32_t nextIndex { 0 };
    Milliseconds budget { 0 };
};

/** A caller's call to a plain service. */
struct ServiceCallRequest {
    RequestId request;
    ServiceWork work;
    Milliseconds budget { 0 };
};

/** The caller closed its connection. */
struct CallerDisconnected {
    RequestId request;
};

/** The caller's connection took all tokens below `nextIndex`. */
struct CallerConsumed {
    RequestId request;
    std::uint32_t nextIndex { 0 };
};

// Entry to caller.

/** Consecutive tokens of a stream. */
struct CallerTokens {
    ResumeToken token;
    std::uint32_t firstIndex { 0 };
    std::vector<std::string> texts;
    bool operator==(const CallerTokens&) const = default;
};

/** The stream starts over with a new generation, by the caller's choice; what came before is void. */
struct CallerRestart {
    ResumeToken token;
    bool operator==(const CallerRestart&) const = default;
};

/** The stream is whole. */
struct CallerFinished {
    std::uint32_t tokenCount { 0 };
    FinishReason reason { FinishReason::Stop };
    bool operator==(const CallerFinished&) const = default;
};

/** A whole answer, all of one generation. */
struct CallerCompletion {
    GenerationId generation;
    std::string text;
    std::uint32_t tokenCount { 0 };
    FinishReason reason { FinishReason::Stop };
    bool operator==(const CallerCompletion&) const = default;
};

/** A plain service's answer. */
struct CallerServiceResponse {
    std::uint16_t status { 0 };
    std::vector<Header> headers;
    std::string body;
    bool replayed { false };
    bool operator==(const CallerServiceResponse&) const = default;
};

/** The last message of a request that has no answer. */
struct CallerFailure {
    Failure failure;
    bool operator==(const CallerFailure&) const = default;
};

using CallerMessage
    = std::variant<CallerTokens, CallerRestart, CallerFinished, CallerCompletion, CallerServiceResponse, CallerFailure>;

}
