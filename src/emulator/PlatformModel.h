#pragma once

#include "ports/PlatformMessages.h"
#include "ports/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <variant>

namespace teaselfold {

/** Rate limits and delays of the emulated platform. */
struct PlatformSettings {
    std::uint32_t writesPerSecond { 500 };
    std::uint32_t readsPerSecond { 2000 };
    /** Time until a change appears in the instance list. */
    Duration instanceListLag { Seconds(1) };
};

/** The platform refused an operation because the rate limit was exceeded. The operation had no effect. */
struct RateLimited {
    Milliseconds retryAfter { 0 };
    bool operator==(const RateLimited&) const = default;
};

using PlatformOutcome = std::variant<PlatformResult, RateLimited>;

/** Simulates the platform's table, object store and instance list. Uses no threads, sockets or clocks. */
class PlatformModel {
public:
    explicit PlatformModel(PlatformSettings settings)
        : settings(settings)
    {
    }

    /** Performs one operation. Table writes are conditional and atomic. */
    PlatformOutcome perform(const PlatformRequest& request, Instant now);

    /** Sets an instance's state, which the instance list shows after `instanceListLag`. */
    void setInstance(const InstanceState& instance, Instant now);

private:
    /** Token bucket with a capacity of one second's tokens. */
    struct TokenBucket {
        /** Negative before the first use, which fills the bucket. */
        double tokens { -1 };
        Instant lastRefill;
        bool tryTake(std::uint32_t perSecond, Instant now);
    };

    struct InstanceChange {
        Instant visibleAt;
        InstanceState state;
    };

    PlatformResult apply(const TableInsert& request, Instant now);
    PlatformResult apply(const TableReplace& request, Instant now);
    PlatformResult apply(const TableErase& request, Instant now);
    PlatformResult apply(const TableRead& request, Instant now);
    PlatformResult apply(const TableScan& request, Instant now);
    PlatformResult apply(const ObjectWrite& request, Instant now);
    PlatformResult apply(const ObjectRead& request, Instant now);
    PlatformResult apply(const InstanceListRead& request, Instant now);

    /** @return the row if it has the given version, otherwise the conflict. */
    std::variant<TableRecord*, WriteConflict> findAtVersion(const std::string& key, std::uint64_t version);

    PlatformSettings settings;
    TokenBucket writes;
    TokenBucket reads;
    std::map<std::string, TableRecord> table;
    std::map<std::string, TableRecord> objects;
    std::deque<InstanceChange> pendingChanges;
    std::map<std::string, InstanceState> visibleInstances;
};

/** @return true if the operation changes the table or the object store. */
bool isWrite(const PlatformRequest& request);

}
