#include "core/agent/GenerationTable.h"

#include "core/common/Check.h"

#include <algorithm>

namespace teaselfold {

namespace {

    constexpr std::uint32_t bytesPerToken = 4;
    constexpr std::uint32_t maxTokensPerMessage = 256;

}

std::uint32_t Generation::promptTokens() const
{
    return static_cast<std::uint32_t>(this->work.prompt.size()) / bytesPerToken + 1;
}

Generation* GenerationTable::find(GenerationId id)
{
    const auto found = this->generations.find(id);
    return found == this->generations.end() ? nullptr : &found->second;
}

Generation& GenerationTable::add(Generation generation)
{
    const auto [position, added] = this->generations.try_emplace(generation.id, std::move(generation));
    internalCheck(added, "a generation id must be added only once");
    this->queued += 1;
    return position->second;
}

void GenerationTable::setState(Generation& generation, GenerationState state, Instant now)
{
    this->queued -= generation.state == GenerationState::Queued ? 1 : 0;
    this->queued += state == GenerationState::Queued ? 1 : 0;
    if (state == GenerationState::Running)
        this->runningIds.insert(generation.id);
    else
        this->runningIds.erase(generation.id);
    generation.state = state;
    if (generation.hasEnded())
        generation.ended = now;
}

void GenerationTable::addTombstone(GenerationId id, Instant now)
{
    if (Generation* generation = this->find(id)) {
        internalCheck(generation->state == GenerationState::Queued, "only a queued generation gets a tombstone");
        this->queued -= 1;
        this->generations.erase(id);
    }
    if (this->tombstones.insert(id).second)
        this->tombstoneTimes.emplace_back(now, id);
}

std::vector<GenerationId> GenerationTable::ids() const
{
    std::vector<GenerationId> result;
    result.reserve(this->generations.size());
    for (const auto& [id, generation] : this->generations)
        result.push_back(id);
    std::sort(result.begin(), result.end());
    return result;
}

void GenerationTable::stream(Generation& generation, std::vector<AgentAction>& actions) const
{
    if (generation.orphanedSince)
        return;
    const auto held = static_cast<std::uint32_t>(generation.tokens.size());
    const std::uint32_t sendLimit = std::min(held, generation.acknowledged + this->limits.flowWindow);
    while (generation.sent < sendLimit) {
        const std::uint32_t count = std::min(sendLimit - generation.sent, maxTokensPerMessage);
        GenerationTokens message { generation.id, generation.sent, {} };
        const auto first = generation.tokens.begin() + generation.sent;
        message.texts.assign(first, first + count);
        actions.push_back(ToEntry { generation.entry, std::move(message) });
        generation.sent += count;
    }
    if (generation.hasEnded() && !generation.endSent && generation.sent >= held)
        this->sendEnd(generation, actions);
}

void GenerationTable::sendEnd(Generation& generation, std::vector<AgentAction>& actions) const
{
    generation.endSent = true;
    if (generation.state == GenerationState::Failed) {
        actions.push_back(ToEntry { generation.entry, GenerationFailed { generation.id, generation.failure } });
        return;
    }
    const auto count = static_cast<std::uint32_t>(generation.tokens.size());
    actions.push_back(
        ToEntry { generation.entry, GenerationFinished { generation.id, count, generation.finishReason } });
}

void GenerationTable::attach(
    Generation& generation, const EntryId& entry, std::uint32_t nextIndex, std::vector<AgentAction>& actions) const
{
    generation.entry = entry;
    generation.orphanedSince.reset();
    generation.sent = nextIndex;
    generation.acknowledged = nextIndex;
    generation.endSent = false;
    if (generation.state == GenerationState::Queued)
        actions.push_back(ToEntry { entry, GenerationAccepted { generation.id } });
    if (generation.state != GenerationState::Queued && !generation.tokens.empty())
        actions.push_back(ToEntry { entry, GenerationStarted { generation.id } });
    this->stream(generation, actions);
}

void GenerationTable::acknowledge(
    Generation& generation, std::uint32_t nextIndex, std::vector<AgentAction>& actions) const
{
    generation.acknowledged = std::max(generation.acknowledged, std::min(nextIndex, generation.sent));
    this->stream(generation, actions);
}

void GenerationTable::markOrphaned(const EntryId& entry, Instant now)
{
    for (auto& [id, generation] : this->generations) {
        if (generation.entry == entry && !generation.orphanedSince)
            generation.orphanedSince = now;
    }
}

bool GenerationTable::isExpired(const Generation& generation, Instant now) const
{
    if (!generation.hasEnded())
        return false;
    const bool delivered = generation.endSent && generation.acknowledged >= generation.tokens.size();
    const Duration retention = delivered ? this->limits.acknowledgedRetention : this->limits.unacknowledgedRetention;
    return now - generation.ended >= retention;
}

void GenerationTable::expire(Instant now)
{
    std::erase_if(this->generations, [&](const auto& row) { return this->isExpired(row.second, now); });
    while (
        !this->tombstoneTimes.empty() && now - this->tombstoneTimes.front().first >= this->limits.tombstoneLifetime) {
        this->tombstones.erase(this->tombstoneTimes.front().second);
        this->tombstoneTimes.pop_front();
    }
}

bool GenerationTable::isDrained(Instant now) const
{
    return std::all_of(this->generations.begin(), this->generations.end(), [&](const auto& row) {
        const Generation& generation = row.second;
        const bool delivered = generation.endSent && generation.acknowledged >= generation.tokens.size();
        const bool failed = generation.state == GenerationState::Failed && generation.endSent;
        return generation.hasEnded() && (delivered || failed || this->isExpired(generation, now));
    });
}

}
