#pragma once

#include "adapters/net/BodyDecoder.h"
#include "core/gateway/CallerBudget.h"

#include <memory>
#include <optional>
#include <string>

namespace teaselfold {

/** A complete request, kept until its response is complete. */
struct CallerRequest {
    ConnectionId connection;
    RequestHead head;
    /** Shared with the endpoint connections that send it. */
    std::shared_ptr<const std::string> body;
    std::string callerRequestId;
    bool closeAfterResponse { false };
    bool responseStarted { false };
    bool isChunked { false };
    /** Only the end of the connection marks the end of the response. */
    bool endsWithConnection { false };
    /** Memory that the response takes before it is relayed. */
    std::size_t bufferedResponseBytes { 0 };
};

/** Where the connection of a caller is in its current request. */
enum class CallerPhase : std::uint8_t {
    Head,
    Body,
    Response,
    /** The last response was queued; further requests are ignored. */
    Closing,
};

/** State of a caller's connection. */
struct CallerState {
    std::string inbound;
    CallerPhase phase { CallerPhase::Head };
    std::optional<BodyDecoder> decoder;
    RequestHead head;
    std::string body;
    std::uint64_t receivedBytes { 0 };
    RequestId request;
    /** The caller's id of the last request whose response was queued whole or aborted. */
    std::string lastEnded;
    Instant phaseStartedAt;
};

/** Bytes of a connection in its socket loop. */
struct CallerTraffic {
    std::size_t queuedBytes { 0 };
    std::uint64_t writtenBytes { 0 };
};

/** @return what a connection holds and has moved. @param request the request in progress; null if there is none. */
CallerUsage usageOf(const CallerState& caller, const CallerRequest* request, const CallerTraffic& traffic);

/** @return the memory that a request takes until its response begins, beside its head. */
std::uint64_t memoryOfBody(std::uint64_t bytes);

/** Frees a buffer that is empty, unless it is small. */
void releaseEmpty(std::string& buffer);

}
