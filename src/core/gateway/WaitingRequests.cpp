#include "core/gateway/WaitingRequests.h"

#include <algorithm>
#include <tuple>

namespace teaselfold {

namespace {

    /** More urgent requests that go before the first of a less urgent priority. */
    constexpr std::uint32_t maxPassedBy = 8;

}

void WaitingRequests::add(const WaitingRequest& request)
{
    if (!this->entries.emplace(request.id, request).second)
        return;
    Group& group = this->queues[request.group];
    group.priorities[request.priority].teams[request.team].inTime.insert(rankOf(request));
    this->byEnd.emplace(request.waitsUntil, request.id);
}

void WaitingRequests::remove(RequestId id)
{
    const auto entry = this->entries.find(id);
    if (entry == this->entries.end())
        return;
    const WaitingRequest request = entry->second;
    this->entries.erase(entry);
    this->byEnd.erase({ request.waitsUntil, id });
    const auto group = this->queues.find(request.group);
    const auto priority = group->second.priorities.find(request.priority);
    const auto team = priority->second.teams.find(request.team);
    team->second.inTime.erase(rankOf(request));
    team->second.late.erase(lateRankOf(request));
    if (!team->second.isEmpty())
        return;
    priority->second.teams.erase(team);
    if (!priority->second.teams.empty())
        return;
    group->second.priorities.erase(priority);
    if (group->second.priorities.empty())
        this->queues.erase(group);
}

void WaitingRequests::start(RequestId id)
{
    const auto entry = this->entries.find(id);
    if (entry == this->entries.end())
        return;
    const WaitingRequest& request = entry->second;
    Group& group = this->queues.at(request.group);
    group.virtualTime = startTag(group, request.team);
    group.finishTags[request.team] = group.virtualTime + request.cost;
    group.priorities.at(request.priority).passedBy = 0;
    for (auto lower = group.priorities.upper_bound(request.priority); lower != group.priorities.end(); ++lower)
        ++lower->second.passedBy;
    this->remove(id);
}

std::vector<WaitingGroup> WaitingRequests::groups() const
{
    std::vector<WaitingGroup> found;
    for (const auto& [group, queue] : this->queues)
        found.push_back(group);
    return found;
}

bool WaitingRequests::hasBefore(const WaitingGroup& group, std::uint32_t priority) const
{
    const auto found = this->queues.find(group);
    return found != this->queues.end() && found->second.priorities.begin()->first <= priority;
}

double WaitingRequests::startTag(const Group& group, const TeamId& team)
{
    const auto finish = group.finishTags.find(team);
    return finish == group.finishTags.end() ? group.virtualTime : std::max(group.virtualTime, finish->second);
}

std::uint32_t WaitingRequests::priorityInTurn(const Group& group)
{
    for (const auto& [priority, queue] : group.priorities) {
        if (queue.passedBy >= maxPassedBy)
            return priority;
    }
    return group.priorities.begin()->first;
}

void WaitingRequests::separateLate(TeamQueue& queue, Instant now)
{
    while (!queue.inTime.empty() && queue.inTime.begin()->time < now) {
        const RequestId id = queue.inTime.begin()->id;
        queue.inTime.erase(queue.inTime.begin());
        queue.late.insert(lateRankOf(this->entries.at(id)));
    }
}

std::optional<RequestId> WaitingRequests::next(const WaitingGroup& name, Instant now)
{
    const auto found = this->queues.find(name);
    if (found == this->queues.end())
        return std::nullopt;
    Group& group = found->second;
    PriorityQueue& queue = group.priorities.at(priorityInTurn(group));
    std::optional<RequestId> first;
    std::tuple<double, bool, Rank> firstRank;
    for (auto& [team, waiting] : queue.teams) {
        this->separateLate(waiting, now);
        const std::tuple rank { startTag(group, team), waiting.inTime.empty(), waiting.front() };
        if (first && !(rank < firstRank))
            continue;
        first = waiting.front().id;
        firstRank = rank;
    }
    return first;
}

std::vector<RequestId> WaitingRequests::expired(Instant now) const
{
    std::vector<RequestId> found;
    for (auto entry = this->byEnd.begin(); entry != this->byEnd.end() && entry->first <= now; ++entry)
        found.push_back(entry->second);
    return found;
}

}
