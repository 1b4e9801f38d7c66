#pragma once

#include "ports/CallerBudgetLimits.h"
#include "ports/Ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace teaselfold {

/** What a caller's connection is doing. */
enum class CallerActivity : std::uint8_t {
    /** Nothing of a request has been received since the last answer was taken. */
    Idle,
    /** A part of a request has been received. */
    Sending,
    /** An answer, or a part of one, is ready and the caller has not taken it. */
    Unread,
    /** A request is in progress, and the caller has taken all that is ready. */
    Served,
};

/** What a caller's connection holds and has moved. */
struct CallerUsage {
    CallerActivity activity { CallerActivity::Idle };
    /** Bytes of memory held for the connection. */
    std::size_t heldBytes { 0 };
    /** Totals since the connection began. */
    std::uint64_t receivedBytes { 0 };
    std::uint64_t takenBytes { 0 };
};

/**
 * Decides which callers' connections go when memory or connections run short: those that hold most and move least,
 * before those of callers that send and read. A request in progress goes last.
 */
class CallerBudget {
public:
    explicit CallerBudget(const CallerBudgetLimits& limits)
        : limits(limits)
    {
    }

    void setLimits(const CallerBudgetLimits& newLimits) { this->limits = newLimits; }
    void opened(ConnectionId connection, Instant now);
    void closed(ConnectionId connection);
    void record(ConnectionId connection, const CallerUsage& usage, Instant now);

    /** @return true when a request body of this size fits in beside those of the requests in progress. */
    bool admitsBody(std::uint64_t bytes) const;
    /** @return the connections to close, so that the others keep within the memory; empty while it suffices. */
    std::vector<ConnectionId> shortOfMemory(Instant now) const;
    /**
     * @param others number of connections that are not callers' and share the limit.
     * @return the connections to close, so that a new one finds room; empty while there is room.
     */
    std::vector<ConnectionId> shortOfConnections(std::size_t others) const;
    /** @return the connections whose answers are unread. Their usage may change without an event. */
    std::vector<ConnectionId> unread() const;
    /** To be called at least once a second. @return the connections whose callers took nothing for the whole limit. */
    std::vector<ConnectionId> overdue(Instant now);

    std::size_t heldBytes() const { return this->totalBytes; }
    std::size_t connections() const { return this->accounts.size(); }

private:
    struct Account {
        CallerUsage usage;
        /** Bytes moved lately; halved every `movedHalfLife`. */
        double movedLately { 0 };
        Instant updatedAt;
        /** When the connection began, or last changed its activity or moved a noticeable number of bytes. */
        Instant progressAt;
        std::uint64_t movedAtProgress { 0 };
        Instant unreadSince;
    };

    static double movedLately(const Account& account, Instant now);

    CallerBudgetLimits limits;
    std::map<ConnectionId, Account> accounts;
    std::size_t totalBytes { 0 };
    std::size_t servedBytes { 0 };
    std::optional<Instant> lastCheck;
};

}
