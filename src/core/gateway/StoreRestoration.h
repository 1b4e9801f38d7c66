#pragma once

#include "ports/GatewayMessages.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace teaselfold {

/**
 * Remembers which sections are being read from an older copy of the store. Until operators and endpoints have had time
 * to write again what the copy lacks, it keeps zones out of service and holds records back that only the copy has,
 * since they may have been removed.
 */
class StoreRestoration {
public:
    /** The content of the section that is read next is that of an older copy. */
    void begin(StoreSection section) { this->readingCopy[static_cast<std::size_t>(section)] = true; }
    /** The read of the section has ended. */
    void end(StoreSection section) { this->readingCopy[static_cast<std::size_t>(section)] = false; }
    bool isBeingRead(StoreSection section) const { return this->readingCopy[static_cast<std::size_t>(section)]; }

    /**
     * Handles the zones that were read as out of service.
     * @param keepUntil until when zones are kept that an older copy lacks.
     * @return the zones that are out of service.
     */
    std::set<ZoneId> zonesRead(std::set<ZoneId> zones, Instant keepUntil);
    /** Holds records back until they are written again, or until the given time. */
    void hold(const std::vector<EndpointRecord>& records, Instant until);
    bool holds(const EndpointId& endpoint) const { return this->held.contains(endpoint); }
    /** Forgets records that were written again or removed. */
    void written(const EndpointsChanged& changes);
    /** @return the zones that are out of service now that some are no longer kept; nothing while that is unchanged. */
    std::optional<std::set<ZoneId>> expireZones(Instant now);
    /** @return the records that are no longer held back. */
    std::vector<EndpointRecord> expireRecords(Instant now);

private:
    std::array<bool, storeSectionCount> readingCopy {};
    /** The zones of the last read. */
    std::set<ZoneId> read;
    std::set<ZoneId> kept;
    Instant keptUntil;
    std::map<EndpointId, EndpointRecord> held;
    Instant heldUntil;
};

}
