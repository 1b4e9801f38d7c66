#pragma once

#include "ports/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace teaselfold {

/** Whether the work behind a refusal or an error was run. "No" is a promise: it never runs afterwards either. */
enum class Executed : std::uint8_t {
    No,
    Unknown,
    Yes,
};

/** Why a request was refused or failed. Each maps to one HTTP status and one stable text code. */
enum class ErrorCode : std::uint8_t {
    BadRequest,
    Unauthorized,
    Forbidden,
    NotFound,
    Conflict,
    TooLarge,
    TeamLimit,
    QueueFull,
    NoCapacity,
    DeadlineUnreachable,
    DeadlineExceeded,
    EndpointLost,
    EngineFailed,
    Quarantined,
    StoreUnavailable,
    OutOfService,
    Stopping,
    Cancelled,
    NotReady,
    Internal,
};

/** A refusal or an error as a value. */
struct Failure {
    ErrorCode code { ErrorCode::Internal };
    std::string message;
    Executed run { Executed::Unknown };
    /** How long the caller should wait before the next try; zero when a retry is pointless. */
    Milliseconds retryAfter { 0 };

    bool operator==(const Failure&) const = default;
};

/** Either a result or the reason there is none. */
template <typename T> using Outcome = std::variant<T, Failure>;

/** @return the stable text of a code, as callers see it in `error.code`. */
std::string_view errorCodeName(ErrorCode code);

/** @return the code with this text; Internal when there is none. */
ErrorCode errorCodeFromName(std::string_view name);

/** @return the HTTP status that goes with a code. */
std::uint16_t httpStatus(ErrorCode code);

/** @return true for the HTTP statuses that promise a caller that its request has not run and never will. */
bool promisesNotExecuted(std::uint16_t status);

/** @return "no", "unknown" or "yes". */
std::string_view executedName(Executed run);

}
