#include "support/FakeEngine.h"

#include <cstdlib>

namespace teaselfold::testing {

namespace {

    constexpr std::uint32_t defaultLength = 4;

    std::uint32_t requestedLength(const std::string& prompt)
    {
        const auto at = prompt.find("len=");
        return at == std::string::npos ? defaultLength
                                       : static_cast<std::uint32_t>(std::strtoul(prompt.c_str() + at + 4, nullptr, 10));
    }

    /** Puts the last digits of the generation id into each token, so that a mix of two generations is detected. */
    std::string tokenText(GenerationId id, std::uint32_t index)
    {
        return "[" + std::to_string(id.get() % 1000) + "." + std::to_string(index) + "]";
    }

}

void FakeEngine::submit(const EngineCommand& command)
{
    if (!this->isAlive) {
        if (const auto* start = std::get_if<EngineStart>(&command))
            this->scheduler.scheduleAfter(Milliseconds(1), [this, id = start->generation] {
                this->deliver(EngineRefused { id, "unreachable" });
            });
        if (const auto* resume = std::get_if<EngineResume>(&command))
            this->scheduler.scheduleAfter(
                Milliseconds(1), [this, id = resume->generation] { this->deliver(EngineStreamLost { id }); });
        return;
    }
    if (const auto* start = std::get_if<EngineStart>(&command))
        return this->startGeneration(*start);
    if (const auto* resume = std::get_if<EngineResume>(&command))
        return this->attachStream(*resume);
    if (const auto* cancel = std::get_if<EngineCancel>(&command)) {
        if (this->generations.erase(cancel->generation) > 0)
            this->recordEvent("stopped", cancel->generation);
        return;
    }
    const auto& order = std::get<EngineOrder>(command);
    this->scheduler.scheduleAfter(Milliseconds(1), [this, order] {
        this->deliver(EngineOrderResult { order, true, "" });
    });
}

void FakeEngine::startGeneration(const EngineStart& start)
{
    const GenerationId id = start.generation;
    this->recordEvent("runs", id);
    std::uint32_t length = requestedLength(start.work.prompt);
    if (start.work.maxTokens > 0)
        length = std::min(length, start.work.maxTokens);
    this->generations[id] = RunningGeneration { length, 0, true, 0, this->incarnation };
    if (start.work.prompt.find("crash!") != std::string::npos) {
        this->scheduler.scheduleAfter(crashDelay, [this, incarnation = this->incarnation] {
            if (this->incarnation == incarnation)
                this->crash();
        });
    }
    if (this->isOverloaded())
        this->recordEvent("overloaded", id);
    this->scheduler.scheduleAfter(this->currentTokenInterval(),
        [this, id, incarnation = this->incarnation] { this->generateToken(id, incarnation); });
}

bool FakeEngine::isOverloaded() const
{
    return this->isCold() && this->coldDetectableFrom && this->scheduler.now() >= *this->coldDetectableFrom
        && this->generations.size() > coldCapacity;
}

void FakeEngine::loseCaches()
{
    this->slow = true;
    this->coldUntil = this->scheduler.now() + coldDuration;
    this->coldDetectableFrom.reset();
    this->recordEvent("turns-cold", GenerationId());
}

void FakeEngine::attachStream(const EngineResume& resume)
{
    auto found = this->generations.find(resume.generation);
    if (found == this->generations.end()) {
        this->scheduler.scheduleAfter(
            Milliseconds(1), [this, id = resume.generation] { this->deliver(EngineGenerationNotFound { id }); });
        return;
    }
    found->second.attached = true;
    found->second.sent = resume.nextIndex;
    this->sendTokens(resume.generation, found->second);
}

void FakeEngine::generateToken(GenerationId id, std::uint64_t incarnation)
{
    auto found = this->generations.find(id);
    if (found == this->generations.end() || found->second.incarnation != incarnation || !this->isAlive)
        return;
    if (!this->frozen && found->second.generated < found->second.length) {
        ++found->second.generated;
        if (!this->coldDetectableFrom)
            this->coldDetectableFrom = this->scheduler.now() + coldDetectionTime;
        this->sendTokens(id, found->second);
    }
    if (this->generations.contains(id))
        this->scheduler.scheduleAfter(
            this->currentTokenInterval(), [this, id, incarnation] { this->generateToken(id, incarnation); });
}

void FakeEngine::sendTokens(GenerationId id, RunningGeneration& running)
{
    if (!running.attached)
        return;
    if (running.sent < running.generated) {
        EngineTokens tokens { id, running.sent, {} };
        for (; running.sent < running.generated; ++running.sent)
            tokens.texts.push_back(tokenText(id, running.sent));
        this->deliver(tokens);
    }
    if (running.generated < running.length)
        return;
    this->generations.erase(id);
    // The detection time counts only while the engine works: an idle engine starts it again.
    if (this->generations.empty() && this->coldDetectableFrom && this->scheduler.now() < *this->coldDetectableFrom)
        this->coldDetectableFrom.reset();
    this->deliver(EngineFinished { id, FinishReason::Stop });
}

void FakeEngine::crash()
{
    this->isAlive = false;
    this->recordEvent("dies", GenerationId());
    this->dropGenerations();
    this->deliver(EngineUnreachable {});
}

void FakeEngine::restart()
{
    this->recordEvent("dies", GenerationId());
    this->dropGenerations();
    this->startIncarnation();
}

void FakeEngine::dropGenerations()
{
    auto lost = std::move(this->generations);
    this->generations.clear();
    for (const auto& [id, running] : lost)
        this->deliver(EngineStreamLost { id });
}

void FakeEngine::start()
{
    if (this->isAlive)
        return;
    this->startIncarnation();
}

void FakeEngine::startIncarnation()
{
    ++this->incarnation;
    this->isAlive = true;
    this->frozen = false;
    this->slow = false;
    this->coldUntil = this->scheduler.now() + coldDuration;
    this->coldDetectableFrom = this->scheduler.now();
    this->recordEvent("starts", GenerationId());
}

void FakeEngine::cutStreams()
{
    std::vector<GenerationId> cut;
    for (auto& [id, running] : this->generations) {
        running.attached = false;
        cut.push_back(id);
    }
    for (const auto& id : cut)
        this->deliver(EngineStreamLost { id });
}

void FakeEngine::report()
{
    if (this->reportsHeld)
        return;
    if (!this->isAlive)
        return this->deliver(EngineUnreachable {});
    EngineReport report;
    report.incarnation = this->incarnation;
    report.running = static_cast<std::uint32_t>(this->generations.size());
    report.blocksTotal = 4096;
    for (const auto& [id, running] : this->generations)
        report.blocksUsed += 1 + running.generated / report.tokensPerBlock;
    report.loadedModels = { "drafter" };
    this->deliver(report);
}

}
