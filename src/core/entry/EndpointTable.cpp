#include "core/entry/EndpointTable.h"

#include "core/entry/Rendezvous.h"

#include <algorithm>

namespace teaselfold {

EndpointState* EndpointTable::find(const EndpointId& endpoint)
{
    const auto found = this->views.find(endpoint);
    return found == this->views.end() ? nullptr : &found->second;
}

const EndpointState* EndpointTable::find(const EndpointId& endpoint) const
{
    const auto found = this->views.find(endpoint);
    return found == this->views.end() ? nullptr : &found->second;
}

void EndpointTable::seed(const std::vector<SeedAgent>& agents)
{
    for (const SeedAgent& seed : agents) {
        EndpointState& view = this->views[seed.endpoint];
        view.endpoint.id = seed.endpoint;
        view.endpoint.agent = seed.agent;
        view.inSubset = true;
    }
}

void EndpointTable::update(const Fleet& fleet, const EntryId& self, std::size_t linksPerService)
{
    for (auto& [id, view] : this->views) {
        view.inFleet = false;
        view.inSubset = false;
    }
    std::map<ServiceId, std::vector<EndpointId>> members;
    for (const auto& [id, endpoint] : fleet.endpoints) {
        EndpointState& view = this->views[id];
        view.endpoint = endpoint;
        view.inFleet = true;
        members[endpoint.service].push_back(id);
    }
    this->subsets.clear();
    for (auto& [service, endpoints] : members) {
        for (const EndpointId& id : rendezvousOrder(hashOf(self.get()), std::move(endpoints), linksPerService)) {
            EndpointState& view = this->views[id];
            view.inSubset = true;
            this->subsets[service].push_back(&view);
        }
    }
}

const std::vector<const EndpointState*>& EndpointTable::subsetFor(const ServiceId& service) const
{
    static const std::vector<const EndpointState*> none;
    const auto found = this->subsets.find(service);
    return found == this->subsets.end() ? none : found->second;
}

void EndpointTable::reported(const EndpointId& endpoint, const LoadReport& report)
{
    EndpointState* view = this->find(endpoint);
    if (!view)
        return;
    view->report = report;
    view->acceptedSinceReport = 0;
}

void EndpointTable::submitted(const EndpointId& endpoint)
{
    if (EndpointState* view = this->find(endpoint))
        view->pendingSubmissions += 1;
}

void EndpointTable::submissionAnswered(const EndpointId& endpoint, bool accepted)
{
    EndpointState* view = this->find(endpoint);
    if (!view)
        return;
    if (view->pendingSubmissions > 0)
        view->pendingSubmissions -= 1;
    if (accepted)
        view->acceptedSinceReport += 1;
}

void EndpointTable::attemptEnded(const EndpointId& endpoint)
{
    EndpointState* view = this->find(endpoint);
    if (view && view->acceptedSinceReport > 0)
        view->acceptedSinceReport -= 1;
}

void EndpointTable::resetConnectionState(const EndpointId& endpoint)
{
    EndpointState* view = this->find(endpoint);
    if (!view)
        return;
    view->report.reset();
    view->deliveredVersion = ReleaseVersion();
    view->acceptedSinceReport = 0;
}

std::uint32_t sentSinceReport(const EndpointState& view) { return view.acceptedSinceReport + view.pendingSubmissions; }

std::uint32_t freeCapacity(const EndpointState& view)
{
    const std::uint32_t room = view.report ? view.report->room : 0;
    return room - std::min(room, sentSinceReport(view));
}

std::uint32_t outstanding(const EndpointState& view)
{
    const std::uint32_t reported = view.report ? view.report->running + view.report->queued : 0;
    return reported + sentSinceReport(view);
}

}
