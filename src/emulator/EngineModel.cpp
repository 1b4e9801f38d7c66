#include "emulator/EngineModel.h"

#include "core/common/Check.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace teaselfold {

namespace {

    /** Number of finished generations that a resume can replay. */
    constexpr std::size_t finishedCapacity = 4096;
    /** A prompt that contains this text crashes the engine. */
    constexpr std::string_view crashMarker = "crash!";
    constexpr char versionSeparator = '@';

    Duration scaleDuration(Duration duration, double factor)
    {
        return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
    }

}

EngineModel::EngineModel(EngineSettings initialSettings, Instant now)
    : settings(std::move(initialSettings))
    , random(this->settings.seed)
    , cache(this->settings.cacheBlocks)
    , role(this->settings.role)
{
    this->restart(now);
}

void EngineModel::restart(Instant now)
{
    this->crashed = false;
    // The top bit stays clear so that JSON parsers limited to signed 64-bit integers read a positive number.
    this->currentIncarnation = (this->random.next() >> 1) | 1;
    this->waiting.clear();
    this->running.clear();
    this->queueKeys.clear();
    this->finished.clear();
    this->finishedFifo.clear();
    this->cache.clear();
    this->totalPrivateBlocks = 0;
    this->preemptionCount = 0;
    this->stepEnd.reset();
    this->publishedEvents.clear();
    this->pendingEvents.reset();
    this->eventSequence = 0;
    this->loadedModels.clear();
    for (const std::string& model : this->settings.models) {
        const std::size_t separator = std::min(model.find(versionSeparator), model.size());
        const std::string version = separator < model.size() ? model.substr(separator + 1) : std::string();
        this->loadedModels.emplace(model.substr(0, separator), LoadedModel { version, now, {} });
    }
    this->turnCold(now);
    this->pendingReport = this->currentReport(now);
    this->publishedReport = this->pendingReport;
    this->nextPublish = now + this->settings.reportInterval;
}

void EngineModel::turnCold(Instant now) { this->coldUntil = now + this->settings.coldStartDuration; }

EngineModel::QueueKey EngineModel::queueKeyOf(const Sequence& sequence)
{
    return { sequence.start.work.priority, sequence.arrival };
}

EngineModel::Sequence EngineModel::makeSequence(const EngineStart& start)
{
    Sequence sequence;
    sequence.start = start;
    sequence.arrival = ++this->arrivals;
    const std::string& prompt = start.work.prompt;
    sequence.promptTokens = static_cast<std::uint32_t>(std::max<std::size_t>(1, prompt.size() / bytesPerToken));
    sequence.blockHashes = prefixHashes(prompt, this->settings.tokensPerBlock);
    const std::uint32_t sampledLength = sampleOutputLength(this->settings.lengths, this->random);
    sequence.outputLength = outputLengthFromPrompt(prompt).value_or(sampledLength);
    const std::uint32_t callerLimit = start.work.maxTokens;
    sequence.cappedByCaller = callerLimit != 0 && callerLimit < sequence.outputLength;
    if (sequence.cappedByCaller)
        sequence.outputLength = callerLimit;
    return sequence;
}

std::optional<EngineRefused> EngineModel::submit(const EngineStart& start, Instant now)
{
    const GenerationId id = start.generation;
    if (this->crashed)
        return EngineRefused { id, "dead" };
    if (this->queueKeys.contains(id) || this->finished.contains(id))
        return EngineRefused { id, "duplicate request id" };
    if (!this->isServed(start.work.model.get(), now))
        return EngineRefused { id, "model not loaded" };
    if (!start.work.adapter.empty() && !this->isServed(start.work.adapter, now))
        return EngineRefused { id, "adapter not loaded" };
    if (this->waiting.size() >= this->settings.maxWaiting)
        return EngineRefused { id, "queue full" };
    Sequence sequence = this->makeSequence(start);
    if (this->blocksFor(sequence.promptTokens + sequence.outputLength) > this->usableBlocks())
        return EngineRefused { id, "longer than memory" };
    const QueueKey key = queueKeyOf(sequence);
    this->queueKeys.emplace(id, key);
    this->waiting.emplace(key, std::move(sequence));
    if (!this->stepEnd)
        this->beginStep(now);
    return std::nullopt;
}

void EngineModel::cancel(GenerationId generation, Instant)
{
    const auto found = this->queueKeys.find(generation);
    if (found == this->queueKeys.end())
        return;
    const auto runningEntry = this->running.find(found->second);
    if (runningEntry != this->running.end())
        this->releaseBlocks(runningEntry->second);
    this->running.erase(found->second);
    this->waiting.erase(found->second);
    this->queueKeys.erase(found);
}

std::vector<EngineEvent> EngineModel::resume(const EngineResume& request) const
{
    const GenerationId id = request.generation;
    const auto queueKey = this->queueKeys.find(id);
    const auto ended = this->finished.find(id);
    if (queueKey == this->queueKeys.end() && ended == this->finished.end())
        return { EngineGenerationNotFound { id } };
    std::uint32_t generated = 0;
    if (ended != this->finished.end())
        generated = ended->second.generated;
    else if (const auto runningEntry = this->running.find(queueKey->second); runningEntry != this->running.end())
        generated = runningEntry->second.generated;
    else
        generated = this->waiting.at(queueKey->second).generated;
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
    while (!this->crashed && this->stepEnd && *this->stepEnd <= now) {
        const Instant end = *this->stepEnd;
        this->publishIfDue(end);
        this->finishStep(end, events);
        this->beginStep(end);
    }
    if (this->crashed)
        this->failAllStreams(events);
    this->publishIfDue(now);
    return events;
}

Instant EngineModel::nextEventTime() const
{
    if (this->crashed && !this->queueKeys.empty())
        return Instant::min();
    return this->stepEnd.value_or(Instant::max());
}

bool EngineModel::isOverloadedWhileCold(Instant now) const
{
    return this->isCold(now) && this->running.size() + this->waiting.size() > this->settings.coldConcurrencyLimit;
}

void EngineModel::beginStep(Instant now)
{
    this->stepEnd.reset();
    if (this->crashed)
        return;
    if (this->isOverloadedWhileCold(now)) {
        this->crash();
        return;
    }
    this->reserveForNextTokens();
    this->admitWaiting(now);
    if (this->crashed || this->running.empty())
        return;
    this->planPrefill();
    this->stepEnd = now + this->stepDuration(now);
}

void EngineModel::finishStep(Instant, std::vector<EngineEvent>& events)
{
    std::vector<std::pair<QueueKey, FinishReason>> ended;
    for (auto& [key, sequence] : this->running) {
        if (sequence.remainingPrefill > 0) {
            sequence.remainingPrefill -= sequence.prefillInStep;
            sequence.prefillInStep = 0;
            if (sequence.remainingPrefill > 0)
                continue;
            this->cachePromptBlocks(sequence);
        }
        this->emitToken(sequence, events);
        if (sequence.generated < sequence.outputLength)
            continue;
        const FinishReason reason = sequence.cappedByCaller ? FinishReason::Length : FinishReason::Stop;
        events.emplace_back(EngineFinished { sequence.start.generation, reason });
        ended.emplace_back(key, reason);
    }
    for (const auto& [key, reason] : ended)
        this->finishSequence(key, reason);
}

void EngineModel::admitWaiting(Instant)
{
    while (!this->waiting.empty() && this->running.size() < this->settings.maxBatch) {
        auto first = this->waiting.begin();
        if (!this->admit(first->second))
            return;
        if (first->second.start.work.prompt.find(crashMarker) != std::string::npos) {
            this->crash();
            return;
        }
        this->running.insert(this->waiting.extract(first));
    }
}

bool EngineModel::admit(Sequence& sequence)
{
    const std::uint64_t tokens = std::uint64_t { sequence.promptTokens } + sequence.generated + 1;
    const std::size_t shared = this->cache.acquire(sequence.blockHashes);
    const std::uint64_t needed = this->blocksFor(tokens) - shared;
    if (!this->reserveBlocks(needed)) {
        this->cache.release(sequence.blockHashes, shared);
        return false;
    }
    sequence.sharedBlocks = shared;
    sequence.privateBlocks = needed;
    const std::uint64_t cachedTokens = std::uint64_t { shared } * this->settings.tokensPerBlock;
    sequence.remainingPrefill = static_cast<std::uint32_t>(std::max<std::uint64_t>(1, tokens - 1 - cachedTokens));
    this->reusedTokens += cachedTokens;
    this->computedTokens += sequence.remainingPrefill;
    return true;
}

void EngineModel::reserveForNextTokens()
{
    // Visits the sequences in queue order. One that cannot get a block preempts the youngest sequence of the lowest
    // priority class, which may be itself.
    for (auto current = this->running.begin(); current != this->running.end();) {
        Sequence& sequence = current->second;
        const std::uint64_t tokens = std::uint64_t { sequence.promptTokens } + sequence.generated + 1;
        const std::uint64_t heldBlocks = sequence.privateBlocks + sequence.sharedBlocks;
        const std::uint64_t neededBlocks = this->blocksFor(tokens);
        if (neededBlocks <= heldBlocks || this->reserveBlocks(neededBlocks - heldBlocks)) {
            sequence.privateBlocks = std::max(sequence.privateBlocks, neededBlocks - sequence.sharedBlocks);
            ++current;
            continue;
        }
        const QueueKey last = this->running.rbegin()->first;
        const bool preemptsItself = last == current->first;
        this->preempt(last);
        if (preemptsItself)
            return;
    }
}

bool EngineModel::reserveBlocks(std::uint64_t blocks)
{
    while (this->blocksUsed() + blocks > this->usableBlocks()) {
        if (!this->cache.evictOne())
            return false;
    }
    this->totalPrivateBlocks += blocks;
    return true;
}

void EngineModel::preempt(const QueueKey& key)
{
    auto entry = this->running.extract(key);
    internalCheck(!entry.empty(), "a sequence to preempt must be running");
    this->releaseBlocks(entry.mapped());
    ++this->preemptionCount;
    this->waiting.insert(std::move(entry));
}

void EngineModel::releaseBlocks(Sequence& sequence)
{
    this->totalPrivateBlocks -= sequence.privateBlocks;
    this->cache.release(sequence.blockHashes, sequence.sharedBlocks);
    sequence.privateBlocks = 0;
    sequence.sharedBlocks = 0;
    sequence.remainingPrefill = 0;
    sequence.prefillInStep = 0;
}

void EngineModel::cachePromptBlocks(Sequence& sequence)
{
    while (sequence.sharedBlocks < sequence.blockHashes.size() && sequence.privateBlocks > 0) {
        if (!this->cache.insert(sequence.blockHashes[sequence.sharedBlocks]))
            return;
        ++sequence.sharedBlocks;
        --sequence.privateBlocks;
        --this->totalPrivateBlocks;
    }
}

void EngineModel::planPrefill()
{
    std::uint32_t remainingChunk = this->settings.prefillChunkTokens;
    for (auto& [key, sequence] : this->running) {
        sequence.prefillInStep = std::min(remainingChunk, sequence.remainingPrefill);
        remainingChunk -= sequence.prefillInStep;
    }
}

Duration EngineModel::stepDuration(Instant now) const
{
    std::uint64_t contextTokens = 0;
    std::uint64_t prefill = 0;
    for (const auto& [key, sequence] : this->running) {
        contextTokens += sequence.promptTokens + sequence.generated - sequence.remainingPrefill;
        prefill += sequence.prefillInStep;
    }
    const Duration baseDuration = this->settings.stepBase
        + this->settings.stepPerSequence * static_cast<Duration::rep>(this->running.size())
        + this->settings.stepPerContextToken * static_cast<Duration::rep>(contextTokens)
        + this->settings.stepPerPrefillToken * static_cast<Duration::rep>(prefill);
    const double coldFactor = this->isCold(now) ? this->settings.coldSlowdown : 1;
    return scaleDuration(baseDuration, coldFactor * this->slowdown / this->settings.speed);
}

void EngineModel::emitToken(Sequence& sequence, std::vector<EngineEvent>& events) const
{
    const GenerationId id = sequence.start.generation;
    events.emplace_back(EngineTokens { id, sequence.generated, { this->tokenText(id, sequence.generated) } });
    ++sequence.generated;
}

void EngineModel::finishSequence(const QueueKey& key, FinishReason reason)
{
    auto entry = this->running.extract(key);
    this->releaseBlocks(entry.mapped());
    const GenerationId id = entry.mapped().start.generation;
    this->queueKeys.erase(id);
    this->finished.emplace(id, FinishedGeneration { entry.mapped().generated, reason });
    this->finishedFifo.push_back(id);
    if (this->finishedFifo.size() <= finishedCapacity)
        return;
    this->finished.erase(this->finishedFifo.front());
    this->finishedFifo.pop_front();
}

void EngineModel::crash()
{
    this->crashed = true;
    this->stepEnd.reset();
}

void EngineModel::failAllStreams(std::vector<EngineEvent>& events)
{
    // Iterates in queue order because the iteration order of `queueKeys` differs between library versions.
    for (const auto* queue : { &this->running, &this->waiting }) {
        for (const auto& [key, sequence] : *queue)
            events.emplace_back(EngineStreamLost { sequence.start.generation });
    }
    this->running.clear();
    this->waiting.clear();
    this->queueKeys.clear();
    this->finished.clear();
    this->finishedFifo.clear();
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
    const std::array<std::uint64_t, 2> ids { generation.get(), this->currentIncarnation };
    const auto generationMark = static_cast<unsigned>(XXH3_64bits(ids.data(), sizeof ids) & 0xffffU);
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), " %04x.%u", generationMark, index);
    return text.data();
}

}
