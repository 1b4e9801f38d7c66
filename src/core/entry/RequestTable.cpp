#include "core/entry/RequestTable.h"

#include "core/common/Check.h"

#include <algorithm>

namespace teaselfold {

namespace {

    template <typename Counts, typename Key> std::size_t countOf(const Counts& counts, const Key& key)
    {
        const auto found = counts.find(key);
        return found == counts.end() ? 0 : found->second;
    }

    template <typename Counts, typename Key> void decrement(Counts& counts, const Key& key)
    {
        const auto found = counts.find(key);
        internalCheck(found != counts.end(), "each team and service of a stored request has a request count");
        found->second -= 1;
        if (found->second == 0)
            counts.erase(found);
    }

}

LiveRequest& RequestTable::add(LiveRequest request)
{
    const RequestId id = request.id;
    this->deadlines.emplace(request.deadline, id);
    this->teamCounts[request.team] += 1;
    this->serviceCounts[request.service] += 1;
    const auto [position, added] = this->requests.emplace(id, std::move(request));
    internalCheck(added, "a request id is added only once");
    return position->second;
}

LiveRequest* RequestTable::find(RequestId request)
{
    const auto found = this->requests.find(request);
    return found == this->requests.end() ? nullptr : &found->second;
}

LiveRequest* RequestTable::findGeneration(GenerationId generation)
{
    const auto found = this->generations.find(generation);
    return found == this->generations.end() ? nullptr : this->find(found->second);
}

void RequestTable::assign(LiveRequest& request, GenerationId generation, const EndpointId& endpoint)
{
    this->unassign(request);
    request.generation = generation;
    request.endpoint = endpoint;
    request.waiting = false;
    this->generations[generation] = request.id;
    this->byEndpoint[endpoint].insert(request.id);
}

void RequestTable::unassign(LiveRequest& request)
{
    this->generations.erase(request.generation);
    const auto position = this->byEndpoint.find(request.endpoint);
    if (position != this->byEndpoint.end()) {
        position->second.erase(request.id);
        if (position->second.empty())
            this->byEndpoint.erase(position);
    }
    request.generation = GenerationId();
    request.endpoint = EndpointId();
    request.accepted = false;
    request.started = false;
    request.nextIndex = 0;
    request.consumed = 0;
    request.flowPaused = false;
    request.tokensDelivered = false;
    request.text.clear();
    request.lastTokenAt.reset();
}

void RequestTable::remove(RequestId request)
{
    LiveRequest* live = this->find(request);
    if (!live)
        return;
    this->unassign(*live);
    this->deadlines.erase({ live->deadline, request });
    decrement(this->teamCounts, live->team);
    decrement(this->serviceCounts, live->service);
    this->requests.erase(request);
}

std::size_t RequestTable::inProgress(const TeamId& team) const { return countOf(this->teamCounts, team); }

std::size_t RequestTable::inProgress(const ServiceId& service) const { return countOf(this->serviceCounts, service); }

std::vector<RequestId> RequestTable::requestsAt(const EndpointId& endpoint) const
{
    const auto found = this->byEndpoint.find(endpoint);
    if (found == this->byEndpoint.end())
        return {};
    return { found->second.begin(), found->second.end() };
}

bool RequestTable::hasRequestsAt(const EndpointId& endpoint) const { return this->byEndpoint.contains(endpoint); }

std::vector<RequestId> RequestTable::pastDeadline(Instant now) const
{
    std::vector<RequestId> result;
    for (const auto& [deadline, request] : this->deadlines) {
        if (deadline > now)
            break;
        result.push_back(request);
    }
    return result;
}

std::vector<RequestId> RequestTable::waiting() const
{
    std::vector<RequestId> result;
    for (const auto& [id, request] : this->requests)
        if (request.waiting)
            result.push_back(id);
    std::ranges::sort(result);
    return result;
}

}
