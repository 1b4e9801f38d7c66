#include "core/agent/FairQueue.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** A waiting class gets a turn after so many items of higher classes. */
    constexpr std::uint32_t mostPassedOver = 16;

}

FairQueue::Line& FairQueue::lineOf(const QueueItem& item, std::uint32_t weight)
{
    Class& lane = this->classes[static_cast<std::size_t>(item.priority)];
    auto [found, added] = lane.lines.try_emplace(item.team);
    if (added)
        lane.round.push_back(item.team);
    found->second.weight = std::max(1U, weight);
    lane.items += 1;
    this->items += 1;
    return found->second;
}

void FairQueue::push(const QueueItem& item, std::uint32_t weight) { this->lineOf(item, weight).items.push_back(item); }

void FairQueue::pushFront(const QueueItem& item, std::uint32_t weight)
{
    Line& line = this->lineOf(item, weight);
    line.items.push_front(item);
    line.deficit += item.cost;
}

std::optional<QueueItem> FairQueue::frontOf(Class& lane, std::uint32_t quantum)
{
    while (!lane.round.empty()) {
        Line& line = lane.lines.at(lane.round.front());
        const QueueItem& item = line.items.front();
        if (line.deficit >= item.cost)
            return item;
        line.deficit += std::uint64_t { quantum } * line.weight;
        lane.round.push_back(lane.round.front());
        lane.round.pop_front();
    }
    return std::nullopt;
}

std::optional<QueueItem> FairQueue::front()
{
    for (Class& lane : this->classes) {
        if (auto item = frontOf(lane, this->quantum))
            return item;
    }
    return std::nullopt;
}

std::optional<QueueItem> FairQueue::overdue()
{
    const auto isDue = [](const Class& lane) { return lane.items > 0 && lane.passedOver >= mostPassedOver; };
    const auto due = std::find_if(this->classes.rbegin(), this->classes.rend(), isDue);
    return due == this->classes.rend() ? std::nullopt : frontOf(*due, this->quantum);
}

void FairQueue::pop()
{
    if (const auto item = this->front())
        this->take(*item);
}

void FairQueue::take(const QueueItem& item)
{
    const auto index = static_cast<std::size_t>(item.priority);
    Class& lane = this->classes[index];
    lane.passedOver = 0;
    for (std::size_t lower = index + 1; lower < this->classes.size(); ++lower)
        this->classes[lower].passedOver += this->classes[lower].items > 0 ? 1 : 0;
    Line& line = lane.lines.at(item.team);
    line.deficit -= item.cost;
    line.items.pop_front();
    lane.items -= 1;
    this->items -= 1;
    this->retireIfEmpty(lane, item.team);
}

bool FairQueue::remove(const QueueItem& item)
{
    Class& lane = this->classes[static_cast<std::size_t>(item.priority)];
    const auto line = lane.lines.find(item.team);
    if (line == lane.lines.end())
        return false;
    auto& waiting = line->second.items;
    const auto found = std::find_if(
        waiting.begin(), waiting.end(), [&](const QueueItem& candidate) { return candidate.id == item.id; });
    if (found == waiting.end())
        return false;
    waiting.erase(found);
    lane.items -= 1;
    this->items -= 1;
    this->retireIfEmpty(lane, item.team);
    return true;
}

std::size_t FairQueue::teamSize(const TeamId& team, PriorityClass priority) const
{
    const Class& lane = this->classes[static_cast<std::size_t>(priority)];
    const auto line = lane.lines.find(team);
    return line == lane.lines.end() ? 0 : line->second.items.size();
}

std::size_t FairQueue::sizeUpTo(PriorityClass priority) const
{
    std::size_t count = 0;
    for (std::size_t index = 0; index <= static_cast<std::size_t>(priority); ++index)
        count += this->classes[index].items;
    return count;
}

void FairQueue::retireIfEmpty(Class& lane, const TeamId& team)
{
    if (!lane.lines.at(team).items.empty())
        return;
    lane.lines.erase(team);
    std::erase(lane.round, team);
}

}
