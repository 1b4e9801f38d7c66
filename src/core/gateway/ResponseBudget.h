#pragma once

#include "ports/Ids.h"

#include <cstddef>
#include <map>
#include <optional>

namespace teaselfold {

/**
 * Decides which responses of endpoints are given up when together they buffer more than the process can spare. Those
 * that buffer most go first: an endpoint in trouble may send bytes without end into each of its responses, and the
 * memory that it takes must cost no other caller its connection.
 */
class ResponseBudget {
public:
    /** @param limit bytes that all responses together may buffer. */
    explicit ResponseBudget(std::size_t limit)
        : limit(limit)
    {
    }

    /** Records the bytes that are buffered of the response on an endpoint's connection. */
    void record(ConnectionId connection, std::size_t bytes);
    /** Forgets a connection. */
    void closed(ConnectionId connection);
    /** @return the connection whose response is given up next; nothing while all fit, or only one buffers anything. */
    std::optional<ConnectionId> excess() const;
    /** @return the bytes that are buffered of all responses. */
    std::size_t heldBytes() const { return this->totalBytes; }

private:
    std::size_t limit;
    std::size_t totalBytes { 0 };
    /** Connections with buffered bytes. */
    std::map<ConnectionId, std::size_t> accounts;
};

}
