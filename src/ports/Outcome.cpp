#include "ports/Outcome.h"

#include <algorithm>
#include <array>

namespace teaselfold {

namespace {

    struct CodeRow {
        ErrorCode code;
        std::string_view name;
        std::uint16_t status;
    };

    constexpr std::array codeRows {
        CodeRow { ErrorCode::BadRequest, "bad_request", 400 },
        CodeRow { ErrorCode::Unauthorized, "unauthorized", 401 },
        CodeRow { ErrorCode::Forbidden, "forbidden", 403 },
        CodeRow { ErrorCode::NotFound, "not_found", 404 },
        CodeRow { ErrorCode::Conflict, "conflict", 409 },
        CodeRow { ErrorCode::TooLarge, "too_large", 413 },
        CodeRow { ErrorCode::TeamLimit, "team_limit", 429 },
        CodeRow { ErrorCode::QueueFull, "queue_full", 429 },
        CodeRow { ErrorCode::NoCapacity, "no_capacity", 503 },
        CodeRow { ErrorCode::DeadlineUnreachable, "deadline_unreachable", 503 },
        CodeRow { ErrorCode::DeadlineExceeded, "deadline_exceeded", 504 },
        CodeRow { ErrorCode::EndpointLost, "endpoint_lost", 503 },
        CodeRow { ErrorCode::EngineFailed, "engine_failed", 503 },
        CodeRow { ErrorCode::Quarantined, "quarantined", 503 },
        CodeRow { ErrorCode::StoreUnavailable, "store_unavailable", 503 },
        CodeRow { ErrorCode::OutOfService, "out_of_service", 503 },
        CodeRow { ErrorCode::Stopping, "stopping", 503 },
        CodeRow { ErrorCode::Cancelled, "cancelled", 503 },
        CodeRow { ErrorCode::NotReady, "not_ready", 503 },
        CodeRow { ErrorCode::Internal, "internal", 500 },
    };

    const CodeRow& rowOf(ErrorCode code)
    {
        const auto* found
            = std::find_if(codeRows.begin(), codeRows.end(), [&](const CodeRow& row) { return row.code == code; });
        return found == codeRows.end() ? codeRows.back() : *found;
    }

}

std::string_view errorCodeName(ErrorCode code) { return rowOf(code).name; }

ErrorCode errorCodeFromName(std::string_view name)
{
    const auto* found
        = std::find_if(codeRows.begin(), codeRows.end(), [&](const CodeRow& row) { return row.name == name; });
    return found == codeRows.end() ? ErrorCode::Internal : found->code;
}

std::uint16_t httpStatus(ErrorCode code) { return rowOf(code).status; }

bool promisesNotExecuted(std::uint16_t status)
{
    constexpr std::array<std::uint16_t, 4> promises { 408, 421, 429, 503 };
    return std::find(promises.begin(), promises.end(), status) != promises.end();
}

std::string_view executedName(Executed run)
{
    constexpr std::array names { std::string_view { "no" }, std::string_view { "unknown" },
        std::string_view { "yes" } };
    return names[static_cast<std::size_t>(run)];
}

}
