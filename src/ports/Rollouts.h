#pragma once

#include "ports/StoreReadings.h"

#include <string>
#include <vector>

namespace teaselfold {

/** An operator's order to move a service's requests to endpoints of another version of the software. */
struct RolloutOrder {
    ServiceId service;
    SoftwareVersion target;
    /** Time in which the roll-out is to be completed or reverted; zero if the order states no usable one. */
    Milliseconds duration { 0 };

    bool operator==(const RolloutOrder&) const = default;
};

/** What the operator is told of a roll-out. */
enum class RolloutState : std::uint8_t {
    InProgress,
    Completed,
    Reverted,
};

/** What the store holds of the last roll-out of a service. */
struct RolloutRecord {
    ServiceId service;
    SoftwareVersion target;
    /** Versions that served the requests before. */
    std::vector<SoftwareVersion> previous;
    RolloutState state { RolloutState::InProgress };
    /** When a gateway first read the order, on the store's clock. */
    StoreTime orderedAt;

    bool operator==(const RolloutRecord&) const = default;
};

/** A record and the version of its row, which a write of the row must name. */
struct StoredRollout {
    RolloutRecord record;
    StoreVersion version;
};

/** The complete list of orders was read. */
struct RolloutOrdersRead {
    std::vector<RolloutOrder> orders;
    /** Keys of rows that are no orders. */
    std::vector<std::string> malformed {};
};

/** Reads the records of all roll-outs. */
struct ReadRollouts { };

/** Writes a record, and the state that the operator reads, if the record's row still has the expected version. */
struct WriteRollout {
    RolloutRecord record;
    /** Zero if the row must not exist. */
    StoreVersion expected;
};

/** The records of all roll-outs were read, because this was asked for or because a write found another version. */
struct RolloutsRead {
    std::vector<StoredRollout> rollouts;
    /** When the store produced the result, on its own clock. */
    StoreTime storeTime;
};

/** A record was written. */
struct RolloutStored {
    StoredRollout rollout;
};

/** A read or a write of records failed. The write may have been performed. */
struct RolloutStoreFailed {
    std::string reason;
};

}
