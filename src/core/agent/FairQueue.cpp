#include "core/agent/FairQueue.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** A waiting class counts as starved after this many items of higher classes. */
    constexpr std::uint32_t maxHigherServed = 16;

}

FairQueue::TeamQueue& FairQueue::reserveSlot(const QueueItem& item, std::uint32_t weight)
{
    ClassQueue& classQueue = this->classes[static_cast<std::size_t>(item.priority)];
    auto [found, added] = classQueue.teams.try_emplace(item.team);
    if (added)
        classQueue.activeTeams.push_back(item.team);
    found->second.weight = std::max(1U, weight);
    classQueue.itemCount += 1;
    this->itemCount += 1;
    return found->second;
}

void FairQueue::push(const QueueItem& item, std::uint32_t weight)
{
    this->reserveSlot(item, weight).items.push_back(item);
}

void FairQueue::pushFront(const QueueItem& item, std::uint32_t weight)
{
    TeamQueue& teamQueue = this->reserveSlot(item, weight);
    teamQueue.items.push_front(item);
    teamQueue.deficit += item.cost;
}

std::optional<QueueItem> FairQueue::frontOf(ClassQueue& classQueue, std::uint32_t quantum)
{
    while (!classQueue.activeTeams.empty()) {
        TeamQueue& teamQueue = classQueue.teams.at(classQueue.activeTeams.front());
        const QueueItem& item = teamQueue.items.front();
        if (teamQueue.deficit >= item.cost)
            return item;
        teamQueue.deficit += std::uint64_t { quantum } * teamQueue.weight;
        classQueue.activeTeams.push_back(classQueue.activeTeams.front());
        classQueue.activeTeams.pop_front();
    }
    return std::nullopt;
}

std::optional<QueueItem> FairQueue::front()
{
    for (ClassQueue& classQueue : this->classes) {
        if (auto item = frontOf(classQueue, this->quantum))
            return item;
    }
    return std::nullopt;
}

std::optional<QueueItem> FairQueue::nextStarved()
{
    const auto isStarved = [](const ClassQueue& classQueue) {
        return classQueue.itemCount > 0 && classQueue.higherServed >= maxHigherServed;
    };
    const auto starved = std::find_if(this->classes.rbegin(), this->classes.rend(), isStarved);
    return starved == this->classes.rend() ? std::nullopt : frontOf(*starved, this->quantum);
}

void FairQueue::pop()
{
    if (const auto item = this->front())
        this->dequeue(*item);
}

void FairQueue::dequeue(const QueueItem& item)
{
    const auto index = static_cast<std::size_t>(item.priority);
    ClassQueue& classQueue = this->classes[index];
    classQueue.higherServed = 0;
    for (std::size_t lower = index + 1; lower < this->classes.size(); ++lower)
        this->classes[lower].higherServed += this->classes[lower].itemCount > 0 ? 1 : 0;
    TeamQueue& teamQueue = classQueue.teams.at(item.team);
    teamQueue.deficit -= item.cost;
    teamQueue.items.pop_front();
    classQueue.itemCount -= 1;
    this->itemCount -= 1;
    this->removeIfEmpty(classQueue, item.team);
}

bool FairQueue::remove(const QueueItem& item)
{
    ClassQueue& classQueue = this->classes[static_cast<std::size_t>(item.priority)];
    const auto teamQueue = classQueue.teams.find(item.team);
    if (teamQueue == classQueue.teams.end())
        return false;
    auto& waiting = teamQueue->second.items;
    const auto found = std::find_if(
        waiting.begin(), waiting.end(), [&](const QueueItem& candidate) { return candidate.id == item.id; });
    if (found == waiting.end())
        return false;
    waiting.erase(found);
    classQueue.itemCount -= 1;
    this->itemCount -= 1;
    this->removeIfEmpty(classQueue, item.team);
    return true;
}

std::size_t FairQueue::teamSize(const TeamId& team, PriorityClass priority) const
{
    const ClassQueue& classQueue = this->classes[static_cast<std::size_t>(priority)];
    const auto teamQueue = classQueue.teams.find(team);
    return teamQueue == classQueue.teams.end() ? 0 : teamQueue->second.items.size();
}

std::size_t FairQueue::sizeUpTo(PriorityClass priority) const
{
    std::size_t count = 0;
    for (std::size_t index = 0; index <= static_cast<std::size_t>(priority); ++index)
        count += this->classes[index].itemCount;
    return count;
}

void FairQueue::removeIfEmpty(ClassQueue& classQueue, const TeamId& team)
{
    if (!classQueue.teams.at(team).items.empty())
        return;
    classQueue.teams.erase(team);
    std::erase(classQueue.activeTeams, team);
}

}
