#include "core/gateway/StoreRestoration.h"

#include <utility>

namespace teaselfold {

std::set<ZoneId> StoreRestoration::zonesRead(std::set<ZoneId> zones, Instant keepUntil)
{
    if (this->isBeingRead(StoreSection::Configuration)) {
        this->kept.insert(this->read.begin(), this->read.end());
        this->keptUntil = keepUntil;
    }
    this->read = std::move(zones);
    std::set<ZoneId> outOfService = this->read;
    outOfService.insert(this->kept.begin(), this->kept.end());
    return outOfService;
}

void StoreRestoration::hold(const std::vector<EndpointRecord>& records, Instant until)
{
    this->held.clear();
    for (const EndpointRecord& record : records)
        this->held[record.id] = record;
    this->heldUntil = until;
}

void StoreRestoration::written(const EndpointsChanged& changes)
{
    for (const EndpointRecord& record : changes.changed)
        this->held.erase(record.id);
    for (const EndpointId& id : changes.removed)
        this->held.erase(id);
}

std::vector<EndpointRecord> StoreRestoration::expireRecords(Instant now)
{
    std::vector<EndpointRecord> records;
    if (now < this->heldUntil)
        return records;
    for (auto& [id, record] : this->held)
        records.push_back(std::move(record));
    this->held.clear();
    return records;
}

std::optional<std::set<ZoneId>> StoreRestoration::expireZones(Instant now)
{
    if (this->kept.empty() || now < this->keptUntil)
        return std::nullopt;
    this->kept.clear();
    return this->read;
}

}
