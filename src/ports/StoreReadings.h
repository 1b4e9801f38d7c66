#pragma once

#include "ports/GatewayConfiguration.h"
#include "ports/PeerMessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace teaselfold {

/** A section of the platform's store that is read and tracked separately. */
enum class StoreSection : std::uint8_t {
    Configuration,
    Endpoints,
    /** The list of gateways. */
    Members,
};
constexpr std::size_t storeSectionCount = 3;

/**
 * Position in the store's sequence of transactions. A store that came back from an older copy is in a new era and gives
 * out numbers again, so versions are ordered by their era first.
 */
struct StoreVersion {
    StoreVersion() = default;
    explicit StoreVersion(std::uint64_t number, std::uint64_t era = 0)
        : era(era)
        , number(number)
    {
    }

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 on the defaulted comparison
    auto operator<=>(const StoreVersion&) const = default;

    std::uint64_t era { 0 };
    std::uint64_t number { 0 };
};

/** The steady clock of the store. Its times are comparable between gateways, unlike those of their own clocks. */
struct StoreClock {
    using rep = Milliseconds::rep;
    using period = Milliseconds::period;
    using duration = Milliseconds;
    using time_point = std::chrono::time_point<StoreClock>;
    // NOLINTNEXTLINE(readability-identifier-naming): the name that the standard requires of a clock
    static constexpr bool is_steady = true;
};
using StoreTime = StoreClock::time_point;

/** Reads a section of the store: its changes, or all of it. */
struct ReadStore {
    StoreSection section { StoreSection::Configuration };
    /** Version after which changes are read; unset to read the whole section. */
    std::optional<StoreVersion> since;
    /** Longest time for which the store holds the call while there are no changes. */
    Milliseconds longPollTimeout { 0 };
};

/** A read of the store succeeded. Its result is valid as of the start of the read or later. */
struct StoreReadSucceeded {
    StoreSection section { StoreSection::Configuration };
    Instant readStartedAt;
    /** All transactions up to this one are contained in the result. */
    StoreVersion version {};
    /** When the store produced the result, on its own clock; unset if it did not say. */
    std::optional<StoreTime> storeTime {};
    /** The whole section was read, so it is unknown when it last changed. */
    bool isSnapshot { false };
};

/**
 * The store came back from an older copy. The content of the section that follows is that of the copy, without what
 * operators and endpoints have not yet written again.
 */
struct StoreRestored {
    StoreSection section { StoreSection::Configuration };
    /** Last version of the section that was known before. */
    StoreVersion before {};
    StoreVersion version {};
};

/** A read of the store failed. */
struct StoreReadFailed {
    StoreSection section { StoreSection::Configuration };
    std::string reason;
};

/** Endpoints that changed since the last read. */
struct EndpointsChanged {
    std::vector<EndpointRecord> changed;
    /** Endpoints whose record was deleted or is unreadable. */
    std::vector<EndpointId> removed;

    bool empty() const { return this->changed.empty() && this->removed.empty(); }
    bool operator==(const EndpointsChanged&) const = default;
};

/** State of one section of the store, as announced by the gateway that reads it to the others of its zone. */
struct StoreReading {
    GatewayId reader;
    StoreSection section { StoreSection::Configuration };
    /** Last change before `lastChange`: a gateway that has it misses only `changes`. */
    StoreVersion previousChange;
    /** The section did not change after this version, up to `completeUpTo`. */
    StoreVersion lastChange;
    StoreVersion completeUpTo;
    /** Time of the store's clock at which the section was in this state. */
    StoreTime asOf;
    /** The changes made by `lastChange`; unset if they must be read from the store. */
    std::optional<EndpointsChanged> changes;

    bool operator==(const StoreReading&) const = default;
};

}
