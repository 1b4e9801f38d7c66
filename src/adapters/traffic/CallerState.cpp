#include "adapters/traffic/CallerState.h"

namespace teaselfold {

namespace {

    /** Memory of a connection with no request: its state here, in the socket loop and in the budget. */
    constexpr std::size_t connectionBytes = 4096;
    /** Memory of a header field beside its text. */
    constexpr std::size_t fieldBytes = 64;
    /** A head is kept here and, in part, in the gateway's state. */
    constexpr std::size_t copiesOfHead = 2;
    /** Until the response begins, a body is kept for another attempt and may be queued for an endpoint. */
    constexpr std::size_t copiesOfUnansweredBody = 2;
    constexpr std::size_t keptBufferBytes = 4096;

    std::size_t memoryOfHead(const RequestHead& head)
    {
        std::size_t bytes = head.method.size() + head.target.size();
        for (const HeaderField& field : head.fields)
            bytes += field.name.size() + field.value.size() + fieldBytes;
        return bytes * copiesOfHead;
    }

    std::size_t memoryOfRequest(const CallerRequest& request)
    {
        const std::size_t body = request.body ? request.body->size() : 0;
        const std::size_t bodies = request.responseStarted ? body : body * copiesOfUnansweredBody;
        return memoryOfHead(request.head) + bodies + request.bufferedResponseBytes;
    }

    CallerActivity activityOf(const CallerState& caller, std::size_t queuedBytes)
    {
        if (queuedBytes > 0)
            return CallerActivity::Unread;
        if (caller.phase == CallerPhase::Response)
            return CallerActivity::Served;
        const bool isSending = caller.phase == CallerPhase::Body || !caller.inbound.empty();
        return isSending ? CallerActivity::Sending : CallerActivity::Idle;
    }

}

CallerUsage usageOf(const CallerState& caller, const CallerRequest* request, const CallerTraffic& traffic)
{
    CallerUsage usage;
    usage.activity = activityOf(caller, traffic.queuedBytes);
    usage.heldBytes = connectionBytes + caller.inbound.size() + caller.body.size() + memoryOfHead(caller.head)
        + traffic.queuedBytes + (request ? memoryOfRequest(*request) : 0);
    usage.receivedBytes = caller.receivedBytes;
    usage.takenBytes = traffic.writtenBytes;
    return usage;
}

std::uint64_t memoryOfBody(std::uint64_t bytes) { return bytes * copiesOfUnansweredBody; }

void releaseEmpty(std::string& buffer)
{
    if (buffer.empty() && buffer.capacity() > keptBufferBytes)
        std::string().swap(buffer);
}

}
