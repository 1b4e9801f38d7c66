#include "core/entry/EndpointTable.h"

#include "core/entry/Rendezvous.h"

#include <algorithm>

namespace teaselfold {

EndpointState* EndpointTable::find(const EndpointId& endpoint)
{
    const auto found = this->states.find(endpoint);
    return found == this->states.end() ? nullptr : &found->second;
}

const EndpointState* EndpointTable::find(const EndpointId& endpoint) const
{
    const auto found = this->states.find(endpoint);
    return found == this->states.end() ? nullptr : &found->second;
}

void EndpointTable::seed(const std::vector<SeedAgent>& agents)
{
    for (const SeedAgent& seed : agents) {
        EndpointState& endpointState = this->states[seed.endpoint];
        endpointState.endpoint.id = seed.endpoint;
        endpointState.endpoint.agent = seed.agent;
        endpointState.inSubset = true;
    }
}

void EndpointTable::update(const Fleet& fleet, const EntryId& self, std::size_t linksPerService)
{
    for (auto& [id, endpointState] : this->states) {
        endpointState.inFleet = false;
        endpointState.inSubset = false;
    }
    std::map<ServiceId, std::vector<EndpointId>> members;
    for (const auto& [id, endpoint] : fleet.endpoints) {
        EndpointState& endpointState = this->states[id];
        endpointState.endpoint = endpoint;
        endpointState.inFleet = true;
        members[endpoint.service].push_back(id);
    }
    this->subsets.clear();
    for (auto& [service, endpoints] : members) {
        for (const EndpointId& id : rendezvousOrder(hashOf(self.get()), std::move(endpoints), linksPerService)) {
            EndpointState& endpointState = this->states[id];
            endpointState.inSubset = true;
            this->subsets[service].push_back(&endpointState);
        }
    }
}

const std::vector<const EndpointState*>& EndpointTable::subsetFor(const ServiceId& service) const
{
    static const std::vector<const EndpointState*> none;
    const auto found = this->subsets.find(service);
    return found == this->subsets.end() ? none : found->second;
}

void EndpointTable::applyReport(const EndpointId& endpoint, const LoadReport& report)
{
    EndpointState* endpointState = this->find(endpoint);
    if (!endpointState)
        return;
    endpointState->report = report;
    endpointState->acceptedSinceReport = 0;
}

void EndpointTable::recordSubmission(const EndpointId& endpoint)
{
    if (EndpointState* endpointState = this->find(endpoint))
        endpointState->pendingSubmissions += 1;
}

void EndpointTable::recordSubmissionAnswer(const EndpointId& endpoint, bool accepted)
{
    EndpointState* endpointState = this->find(endpoint);
    if (!endpointState)
        return;
    if (endpointState->pendingSubmissions > 0)
        endpointState->pendingSubmissions -= 1;
    if (accepted)
        endpointState->acceptedSinceReport += 1;
}

void EndpointTable::recordAttemptEnd(const EndpointId& endpoint)
{
    EndpointState* endpointState = this->find(endpoint);
    if (endpointState && endpointState->acceptedSinceReport > 0)
        endpointState->acceptedSinceReport -= 1;
}

void EndpointTable::resetConnectionState(const EndpointId& endpoint)
{
    EndpointState* endpointState = this->find(endpoint);
    if (!endpointState)
        return;
    endpointState->report.reset();
    endpointState->deliveredVersion = ReleaseVersion();
    endpointState->acceptedSinceReport = 0;
}

std::uint32_t sentSinceReport(const EndpointState& endpointState)
{
    return endpointState.acceptedSinceReport + endpointState.pendingSubmissions;
}

std::uint32_t freeCapacity(const EndpointState& endpointState)
{
    const std::uint32_t room = endpointState.report ? endpointState.report->room : 0;
    return room - std::min(room, sentSinceReport(endpointState));
}

std::uint32_t outstanding(const EndpointState& endpointState)
{
    const std::uint32_t reported
        = endpointState.report ? endpointState.report->running + endpointState.report->queued : 0;
    return reported + sentSinceReport(endpointState);
}

}
