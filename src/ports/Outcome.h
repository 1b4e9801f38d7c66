#pragma once

#include "ports/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace teaselfold {

/** Whether a refused or failed request was executed. `No` also rules out a later execution. */
enum class Executed : std::uint8_t {
    No,
    Unknown,
    Yes,
};

/** Reason of a refusal or failure. Each maps to one HTTP status and one stable text. */
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

/** Describes why a request was refused or failed. */
struct Failure {
    ErrorCode code { ErrorCode::Internal };
    std::string message;
    Executed run { Executed::Unknown };
    /** Time that the caller should wait before it retries; zero when a retry is pointless. */
    Milliseconds retryAfter { 0 };

    bool operator==(const Failure&) const = default;
};

/** Either a result or the failure that prevented it. */
template <typename T> using Outcome = std::variant<T, Failure>;

/** @return the stable text of a code, as sent to callers in `error.code`. */
std::string_view errorCodeName(ErrorCode code);

/** @return the code with this text, or Internal when there is none. */
ErrorCode errorCodeFromName(std::string_view name);

/** @return the HTTP status of a code. */
std::uint16_t httpStatus(ErrorCode code);

/** @return true for an HTTP status that promises the caller that the request was not and will not be executed. */
bool promisesNotExecuted(std::uint16_t status);

/** @return "no", "unknown" or "yes". */
std::string_view executedName(Executed run);

}
