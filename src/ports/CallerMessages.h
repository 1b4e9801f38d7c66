#pragma once

#include "ports/LinkMessages.h"

#include <optional>

namespace teaselfold {

/** What happens to a stream whose engine fails before the stream is complete. */
enum class OnEngineLoss : std::uint8_t {
    Fail,
    /** Starts a new generation; the tokens sent so far are void. */
    Restart,
};

/** A caller's request for a completion. */
struct CompletionRequest {
    RequestId request;
    CompletionWork work;
    /** True when tokens are streamed to the caller; false when the completion is sent as a whole. */
    bool stream { false };
    OnEngineLoss onEngineLoss { OnEngineLoss::Fail };
    /** Time from now to the caller's deadline. */
    Milliseconds budget { 0 };
};

/** Identifies a stream, so that it can be resumed at any entry. Only the team that started the stream may use it. */
struct ResumeToken {
    EndpointId endpoint;
    GenerationId generation;
    bool operator==(const ResumeToken&) const = default;
};

/** A caller's request to resume a stream at token `nextIndex`. */
struct StreamResumeRequest {
    RequestId request;
    TeamId team;
    ResumeToken token;
    std::uint32_t nextIndex { 0 };
    /** Time from now to the caller's deadline. */
    Milliseconds budget { 0 };
};

/** A caller's call to a plain service. */
struct ServiceCallRequest {
    RequestId request;
    ServiceWork work;
    /** Time from now to the caller's deadline. */
    Milliseconds budget { 0 };
};

/** The caller closed its connection. */
struct CallerDisconnected {
    RequestId request;
};

/** All tokens below `nextIndex` were written to the caller's connection. */
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

/**
 * The stream starts over with a new generation, since the caller chose OnEngineLoss::Restart. Tokens sent before are
 * void.
 */
struct CallerRestart {
    ResumeToken token;
    bool operator==(const CallerRestart&) const = default;
};

/** The stream is complete. */
struct CallerFinished {
    std::uint32_t tokenCount { 0 };
    FinishReason reason { FinishReason::Stop };
    bool operator==(const CallerFinished&) const = default;
};

/** A completion that is sent as a whole. All of it comes from one generation. */
struct CallerCompletion {
    GenerationId generation;
    std::string text;
    std::uint32_t tokenCount { 0 };
    FinishReason reason { FinishReason::Stop };
    bool operator==(const CallerCompletion&) const = default;
};

/** A plain service's response. */
struct CallerServiceResponse {
    std::uint16_t status { 0 };
    std::vector<Header> headers;
    std::string body;
    /** True when this is the stored response of an earlier call with the same idempotency key. */
    bool replayed { false };
    bool operator==(const CallerServiceResponse&) const = default;
};

/** Ends a request that was refused or failed. */
struct CallerFailure {
    Failure failure;
    bool operator==(const CallerFailure&) const = default;
};

using CallerMessage
    = std::variant<CallerTokens, CallerRestart, CallerFinished, CallerCompletion, CallerServiceResponse, CallerFailure>;

}
