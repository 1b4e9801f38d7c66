#include "emulator/EngineModel.h"

#include "core/common/Check.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace teaselfold {

namespace {

    constexpr std::size_t keptFinished = 4096;
    constexpr std::string_view crashMark = "crash!";
    constexpr char versionMark = '@';

    Duration scaled(Duration duration, double factor)
    {
        return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
    }

}

EngineModel::EngineModel(EngineSettings given, Instant now)
    : settings(std::move(given))
    , random(this->settings.seed)
    , cache(this->settings.cacheBlocks)
    , role(this->settings.role)
{
    this->restart(now);
}

void EngineModel::restart(Instant now)
{
    this->isDead = false;
    // Positive as a signed number too, for readers of JSON that know no other.
    this->currentIncarnation = (this->random.next() >> 1) | 1;
    this->waiting.clear();
    this->running.clear();
    this->keys.clear();
    this->finished.clear();
    this->finishedOrder.clear();
    this->cache.clear();
    this->privateBlocks = 0;
    this->preemptionCount = 0;
    this->stepEnd.reset();
    this->publishedEvents.clear();
    this->pendingEvents.reset();
    this->eventSequence = 0;
    this->loadedModels.clear();
    for (const std::string& model : this->settings.models) {
        const std::size_t mark = std::min(model.find(versionMark), model.size());
        const std::string version = mark < model.size() ? model.substr(mark + 1) : std::string();
        this->loadedModels.emplace(model.substr(0, mark), Loaded { version, now, {} });
    }
    this->turnCold(now);
    this->pendingReport = this->currentReport(now);
    this->publishedReport = this->pendingReport;
    this->nextPublish = now + this->settings.reportInterval;
}

void EngineModel::turnCold(Instant now) { this->coldUntil = now + this->settings.coldFor; }

EngineModel::QueueKey EngineModel::keyOf(const Sequence& sequence)
{
    return { sequence.start.work.priority, sequence.arrival };
}

EngineModel::Sequence EngineModel::sequenceFor(const EngineStart& start)
{
    Sequence sequence;
    sequence.start = start;
    sequence.arrival = ++this->arrivals;
    const std::string& prompt = start.work.prompt;
    sequence.promptTokens = static_cast<std::uint32_t>(std::max<std::size_t>(1, prompt.size() / bytesPerToken));
    sequence.hashes = prefixHashes(prompt, this->settings.tokensPerBlock);
    const std::uint32_t drawn = drawLength(this->settings.lengths, this->random);
    sequence.outputLength = lengthFromPrompt(prompt).value_or(drawn);
    const std::uint32_t cap = start.work.maxTokens;
    sequence.cappedByCaller = cap != 0 && cap < sequence.outputLength;
    if (sequence.cappedByCaller)
        sequence.outputLength = cap;
    return sequence;
}

std::optional<EngineRefused> EngineModel::submit(const EngineStart& start, Instant now)
{
    const GenerationId id = start.generation;
    if (this->isDead)
        return EngineRefused { id, "dead" };
    if (this->keys.contains(id) || this->finished.contains(id))
        return EngineRefused { id, "duplicate request id" };
    if (!this->isLoaded(start.work.model.get(), now))
        return EngineRefused { id, "model not loaded" };
    if (!start.work.adapter.empty() && !this->isLoaded(start.work.adapter, now))
        return EngineRefused { id, "adapter not loaded" };
    if (this->waiting.size() >= this->settings.maxWaiting)
        return EngineRefused { id, "queue full" };
    Sequence sequence = this->sequenceFor(start);
    if (this->blocksFor(sequence.promptTokens + sequence.outputLength) > this->usableBlocks())
        return EngineRefused { id, "longer than memory" };
    const QueueKey key = keyOf(sequence);
    this->keys.emplace(id, key);
    this->waiting.emplace(key, std::move(sequence));
    if (!this->stepEnd)
        this->beginStep(now);
    return std::nullopt;
}

void EngineModel::cancel(GenerationId generation, Instant)
{
    const auto found = this->keys.find(generation);
    if (found == this->keys.end())
        return;
    const auto active = this->running.find(found->second);
    if (active != this->running.end())
        this->giveBack(active->second);
    this->running.erase(found->second);
    this->waiting.erase(found->second);
    this->keys.erase(found);
}

std::vector<EngineEvent> EngineModel::resume(const EngineResume& request) const
{
    const GenerationId id = request.generation;
    const auto known = this->keys.find(id);
    const auto ended = this->finished.find(id);
    if (known == this->keys.end() && ended == this->finished.end())
        return { EngineGenerationNotFound { id } };
    std::uint32_t generated = 0;
    if (ended != this->finished.end())
        generated = ended->second.generated;
    else if (const auto active = this->running.find(known->second); active != this->running.end())
        generated = active->second.generated;
    else
        generated = this->waiting.at(known->second).generated;
    std::vector<EngineEvent> events;
    EngineTokens tokens { id, request.nextIndex, {} };
    for (std::uint32_t index = request.nextIndex; index < generated; ++index)
        tokens.texts.push_back(this->tokenText(id, index));
    if (!tokens.texts.empty())
        events.emplace_back(std::move(tokens));
    if (ended != this->finished.end())
        events.emplace_back(EngineFinished { id, ended->second.reason });
    return events;
}

std::vector<EngineEvent> EngineModel::advance(Instant now)
{
    std::vector<EngineEvent> events;
    while (!this->isDead && this->stepEnd && *this->stepEnd <= now) {
        const Instant end = *this->stepEnd;
        this->publish(end);
        this->finishStep(end, events);
        this->beginStep(end);
    }
    if (this->isDead)
        this->failAll(events);
    this->publish(now);
    return events;
}

Instant EngineModel::nextEvent() const
{
    if (this->isDead && !this->keys.empty())
        return Instant::min();
    return this->stepEnd.value_or(Instant::max());
}

bool EngineModel::tooMuchWhileCold(Instant now) const
{
    return this->cold(now) && this->running.size() + this->waiting.size() > this->settings.coldBearable;
}

void EngineModel::beginStep(Instant now)
{
    this->stepEnd.reset();
    if (this->isDead)
        return;
    if (this->tooMuchWhileCold(now)) {
        this->die();
        return;
    }
    this->reserveForNextTokens();
    this->admitWaiting(now);
    if (this->isDead || this->running.empty())
        return;
    this->planPrefill();
    this->stepEnd = now + this->stepDuration(now);
}

void EngineModel::finishStep(Instant, std::vector<EngineEvent>& events)
{
    std::vector<std::pair<QueueKey, FinishReason>> ended;
    for (auto& [key, sequence] : this->running) {
        if (sequence.prefillLeft > 0) {
            sequence.prefillLeft -= sequence.prefillInStep;
            sequence.prefillInStep = 0;
            if (sequence.prefillLeft > 0)
                continue;
            this->cachePrompt(sequence);
        }
        this->emitToken(sequence, events);
        if (sequence.generated < sequence.outputLength)
            continue;
        const FinishReason reason = sequence.cappedByCaller ? FinishReason::Length : FinishReason::Stop;
        events.emplace_back(EngineFinished { sequence.start.generation, reason });
        ended.emplace_back(key, reason);
    }
    for (const auto& [key, reason] : ended)
        this->retire(key, reason);
}

void EngineModel::admitWaiting(Instant)
{
    while (!this->waiting.empty() && this->running.size() < this->settings.maxBatch) {
        auto first = this->waiting.begin();
        if (!this->admit(first->second))
            return;
        if (first->second.start.work.prompt.find(crashMark) != std::string::npos) {
            this->die();
            return;
        }
        this->running.insert(this->waiting.extract(first));
    }
}

bool EngineModel::admit(Sequence& sequence)
{
    const std::uint64_t tokens = std::uint64_t { sequence.promptTokens } + sequence.generated + 1;
    const std::size_t shared = this->cache.acquire(sequence.hashes);
    const std::uint64_t needed = this->blocksFor(tokens) - shared;
    if (!this->reserveBlocks(needed)) {
        this->cache.release(sequence.hashes, shared);
        return false;
    }
    sequence.sharedBlocks = shared;
    sequence.ownBlocks = needed;
    const std::uint64_t cachedTokens = std::uint64_t { shared } * this->settings.tokensPerBlock;
    sequence.prefillLeft = static_cast<std::uint32_t>(std::max<std::uint64_t>(1, tokens - 1 - cachedTokens));
    this->reusedTokens += cachedTokens;
    this->computedTokens += sequence.prefillLeft;
    return true;
}

void EngineModel::reserveForNextTokens()
{
    // Oldest and most urgent first; each may push out the youngest of the lowest class, in the end itself.
    for (auto current = this->running.begin(); current != this->running.end();) {
        Sequence& sequence = current->second;
        const std::uint64_t tokens = std::uint64_t { sequence.promptTokens } + sequence.generated + 1;
        const std::uint64_t held = sequence.ownBlocks + sequence.sharedBlocks;
        const std::uint64_t wanted = this->blocksFor(tokens);
        if (wanted <= held || this->reserveBlocks(wanted - held)) {
            sequence.ownBlocks = std::max(sequence.ownBlocks, wanted - sequence.sharedBlocks);
            ++current;
            continue;
        }
        const QueueKey last = this->running.rbegin()->first;
        const bool itself = last == current->first;
        this->preempt(last);
        if (itself)
            return;
    }
}

bool EngineModel::reserveBlocks(std::uint64_t blocks)
{
    while (this->blocksUsed() + blocks > this->usableBlocks()) {
        if (!this->cache.evictOne())
            return false;
    }
    this->privateBlocks += blocks;
    return true;
}

void EngineModel::preempt(const QueueKey& key)
{
    auto node = this->running.extract(key);
    internalCheck(!node.empty(), "a preempted sequence is running");
    this->giveBack(node.mapped());
    ++this->preemptionCount;
    this->waiting.insert(std::move(node));
}

void EngineModel::giveBack(Sequence& sequence)
{
    this->privateBlocks -= sequence.ownBlocks;
    this->cache.release(sequence.hashes, sequence.sharedBlocks);
    sequence.ownBlocks = 0;
    sequence.sharedBlocks = 0;
    sequence.prefillLeft = 0;
    sequence.prefillInStep = 0;
}

void EngineModel::cachePrompt(Sequence& sequence)
{
    while (sequence.sharedBlocks < sequence.hashes.size() && sequence.ownBlocks > 0) {
        if (!this->cache.insert(sequence.hashes[sequence.sharedBlocks]))
            return;
        ++sequence.sharedBlocks;
        --sequence.ownBlocks;
        --this->privateBlocks;
    }
}

void EngineModel::planPrefill()
{
    std::uint32_t left = this->settings.prefillChunk;
    for (auto& [key, sequence] : this->running) {
        sequence.prefillInStep = std::min(left, sequence.prefillLeft);
        left -= sequence.prefillInStep;
    }
}

Duration EngineModel::stepDuration(Instant now) const
{
    std::uint64_t held = 0;
    std::uint64_t prefill = 0;
    for (const auto& [key, sequence] : this->running) {
        held += sequence.promptTokens + sequence.generated - sequence.prefillLeft;
        prefill += sequence.prefillInStep;
    }
    const Duration whole = this->settings.stepBase
        + this->settings.stepPerSequence * static_cast<Duration::rep>(this->running.size())
        + this->settings.stepPerHeldToken * static_cast<Duration::rep>(held)
        + this->settings.stepPerPrefillToken * static_cast<Duration::rep>(prefill);
    const double coldFactor = this->cold(now) ? this->settings.coldSlowdown : 1;
    return scaled(whole, coldFactor * this->slowdown / this->settings.speed);
}

void EngineModel::emitToken(Sequence& sequence, std::vector<EngineEvent>& events) const
{
    const GenerationId id = sequence.start.generation;
    events.emplace_back(EngineTokens { id, sequence.generated, { this->tokenText(id, sequence.generated) } });
    ++sequence.generated;
}

void EngineModel::retire(const QueueKey& key, FinishReason reason)
{
    auto node = this->running.extract(key);
    this->giveBack(node.mapped());
    const GenerationId id = node.mapped().start.generation;
    this->keys.erase(id);
    this->finished.emplace(id, Finished { node.mapped().generated, reason });
    this->finishedOrder.push_back(id);
    if (this->finishedOrder.size() <= keptFinished)
        return;
    this->finished.erase(this->finishedOrder.front());
    this->finishedOrder.pop_front();
}

void EngineModel::die()
{
    this->isDead = true;
    this->stepEnd.reset();
}

void EngineModel::failAll(std::vector<EngineEvent>& events)
{
    // In order of service: the hash table's order would differ between library versions.
    for (const auto* group : { &this->running, &this->waiting }) {
        for (const auto& [key, sequence] : *group)
            events.emplace_back(EngineStreamLost { sequence.start.generation });
    }
    this->running.clear();
    this->waiting.clear();
    this->keys.clear();
    this->finished.clear();
    this->finishedOrder.clear();
}

std::uint64_t EngineModel::usableBlocks() const
{
    const double usable = static_cast<double>(this->settings.blocks) * this->memoryShare;
    return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(usable));
}

std::uint64_t EngineModel::blocksFor(std::uint64_t tokens) const
{
    return (tokens + this->settings.tokensPerBlock - 1) / this->settings.tokensPerBlock;
}

std::string EngineModel::tokenText(GenerationId generation, std::uint32_t index) const
{
    const std::array<std::uint64_t, 2> origin { generation.get(), this->currentIncarnation };
    const auto mark = static_cast<unsigned>(XXH3_64bits(origin.data(), sizeof origin) & 0xffffU);
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), " %04x.%u", mark, index);
    return text.data();
}

}
