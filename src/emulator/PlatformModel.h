#pragma once

#include "ports/PlatformMessages.h"
#include "ports/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <variant>

namespace teaselfold {

/** Limits and habits of the emulated platform. */
struct PlatformSettings {
    std::uint32_t writesPerSecond { 500 };
    std::uint32_t readsPerSecond { 2000 };
    /** How old the instance list is when it is read. */
    Duration listLag { Seconds(1) };
};

/** The platform refused an operation because its rate limit is used up; nothing took effect. */
struct RateLimited {
    Milliseconds retryAfter { 0 };
    bool operator==(const RateLimited&) const = default;
};

using PlatformOutcome = std::variant<PlatformResult, RateLimited>;

/** The rules of the platform's table, object store and instance list. Holds no thread, socket or clock. */
class PlatformModel {
public:
    explicit PlatformModel(PlatformSettings settings)
        : settings(settings)
    {
    }

    /** Carries out one operation. Writes are conditional and atomic. */
    PlatformOutcome perform(const PlatformRequest& request, Instant now);

    /** Sets an instance's state; lists show it after the lag. */
    void setInstance(const InstanceState& instance, Instant now);

private:
    /** Token bucket that holds the allowance of one second. */
    struct Bucket {
        double tokens { -1 };
        Instant filled;
        bool take(std::uint32_t perSecond, Instant now);
    };

    struct InstanceChange {
        Instant visible;
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

    /** @return the row when its version is the expected one; otherwise the conflict. */
    std::variant<TableRecord*, WriteConflict> expect(const std::string& key, std::uint64_t version);

    PlatformSettings settings;
    Bucket writes;
    Bucket reads;
    std::map<std::string, TableRecord> table;
    std::map<std::string, TableRecord> objects;
    std::deque<InstanceChange> changes;
    std::map<std::string, InstanceState> visibleInstances;
};

/** @return true when the operation changes the table or the object store. */
bool isWrite(const PlatformRequest& request);

}
