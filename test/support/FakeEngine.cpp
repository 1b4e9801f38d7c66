#include "support/FakeEngine.h"

#include <cstdlib>

namespace teaselfold::testing {

namespace {

    constexpr std::uint32_t defaultLength = 4;

    std::uint32_t lengthOf(const std::string& prompt)
    {
        const auto at = prompt.find("len=");
        return at == std::string::npos ? defaultLength
                                       : static_cast<std::uint32_t>(std::strtoul(prompt.c_str() + at + 4, nullptr, 10));
    }

    /** Marks each token with the last digits of its generation, so that a mix of two shows. */
    std::string tokenText(GenerationId id, std::uint32_t index)
    {
        return "[" + std::to_string(id.get() % 1000) + "." + std::to_string(index) + "]";
    }

}

void FakeEngine::submit(const EngineCommand& command)
{
    if (!this->living) {
        if (const auto* start = std::get_if<EngineStart>(&command))
            this->scheduler.after(Milliseconds(1), [this, id = start->generation] {
                this->deliver(EngineRefused { id, "unreachable" });
            });
        if (const auto* resume = std::get_if<EngineResume>(&command))
            this->scheduler.after(
                Milliseconds(1), [this, id = resume->generation] { this->deliver(EngineStreamLost { id }); });
        return;
    }
    if (const auto* start = std::get_if<EngineStart>(&command))
        return this->begin(*start);
    if (const auto* resume = std::get_if<EngineResume>(&command))
        return this->attach(*resume);
    if (const auto* cancel = std::get_if<EngineCancel>(&command)) {
        if (this->generations.erase(cancel->generation) > 0)
            this->tell("stopped", cancel->generation);
        return;
    }
    const auto& order = std::get<EngineOrder>(command);
    this->scheduler.after(Milliseconds(1), [this, order] { this->deliver(EngineOrderResult { order, true, "" }); });
}

void FakeEngine::begin(const EngineStart& start)
{
    const GenerationId id = start.generation;
    this->tell("runs", id);
    std::uint32_t length = lengthOf(start.work.prompt);
    if (start.work.maxTokens > 0)
        length = std::min(length, start.work.maxTokens);
    this->generations[id] = Running { length, 0, true, 0, this->life };
    if (start.work.prompt.find("crash!") != std::string::npos) {
        this->scheduler.after(crashDelay, [this, life = this->life] {
            if (this->life == life)
                this->die();
        });
    }
    if (this->overloaded())
        this->tell("overloaded", id);
    this->scheduler.after(this->pace(), [this, id, life = this->life] { this->step(id, life); });
}

bool FakeEngine::overloaded() const
{
    return this->cold() && this->coldShown && this->scheduler.now() >= *this->coldShown
        && this->generations.size() > coldBearable;
}

void FakeEngine::turnCold()
{
    this->slow = true;
    this->coldUntil = this->scheduler.now() + coldTime;
    this->coldShown.reset();
    this->tell("turns-cold", GenerationId());
}

void FakeEngine::attach(const EngineResume& resume)
{
    auto found = this->generations.find(resume.generation);
    if (found == this->generations.end()) {
        this->scheduler.after(
            Milliseconds(1), [this, id = resume.generation] { this->deliver(EngineGenerationNotFound { id }); });
        return;
    }
    found->second.attached = true;
    found->second.sent = resume.nextIndex;
    this->send(resume.generation, found->second);
}

void FakeEngine::step(GenerationId id, std::uint64_t life)
{
    auto found = this->generations.find(id);
    if (found == this->generations.end() || found->second.life != life || !this->living)
        return;
    if (!this->frozen && found->second.made < found->second.length) {
        ++found->second.made;
        if (!this->coldShown)
            this->coldShown = this->scheduler.now() + coldShowTime;
        this->send(id, found->second);
    }
    if (this->generations.contains(id))
        this->scheduler.after(this->pace(), [this, id, life] { this->step(id, life); });
}

void FakeEngine::send(GenerationId id, Running& running)
{
    if (!running.attached)
        return;
    if (running.sent < running.made) {
        EngineTokens tokens { id, running.sent, {} };
        for (; running.sent < running.made; ++running.sent)
            tokens.texts.push_back(tokenText(id, running.sent));
        this->deliver(tokens);
    }
    if (running.made < running.length)
        return;
    this->generations.erase(id);
    // The time in which the pace shows is time of work.
    if (this->generations.empty() && this->coldShown && this->scheduler.now() < *this->coldShown)
        this->coldShown.reset();
    this->deliver(EngineFinished { id, FinishReason::Stop });
}

void FakeEngine::die()
{
    this->living = false;
    this->tell("dies", GenerationId());
    this->loseGenerations();
    this->deliver(EngineUnreachable {});
}

void FakeEngine::restart()
{
    this->tell("dies", GenerationId());
    this->loseGenerations();
    this->beginLife();
}

void FakeEngine::loseGenerations()
{
    auto lost = std::move(this->generations);
    this->generations.clear();
    for (const auto& [id, running] : lost)
        this->deliver(EngineStreamLost { id });
}

void FakeEngine::start()
{
    if (this->living)
        return;
    this->beginLife();
}

void FakeEngine::beginLife()
{
    ++this->life;
    this->living = true;
    this->frozen = false;
    this->slow = false;
    this->coldUntil = this->scheduler.now() + coldTime;
    this->coldShown = this->scheduler.now();
    this->tell("starts", GenerationId());
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
    if (!this->living)
        return this->deliver(EngineUnreachable {});
    EngineReport report;
    report.incarnation = this->life;
    report.running = static_cast<std::uint32_t>(this->generations.size());
    report.blocksTotal = 4096;
    for (const auto& [id, running] : this->generations)
        report.blocksUsed += 1 + running.made / report.tokensPerBlock;
    report.loadedModels = { "drafter" };
    this->deliver(report);
}

}
