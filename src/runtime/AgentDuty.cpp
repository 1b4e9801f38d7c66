#include "runtime/AgentDuty.h"

#include "core/common/HandlerTable.h"

#include <utility>

namespace teaselfold {

namespace {

    constexpr std::size_t ringCapacity = 16384;
    constexpr Milliseconds tickPeriod { 50 };

    constexpr HandlerTable<AgentDuty, void, AgentAction> actionTable {
        &AgentDuty::onToEntry,
        &AgentDuty::onToEngine,
        &AgentDuty::onToService,
        &AgentDuty::onToPlatform,
        &AgentDuty::onLog,
        &AgentDuty::onObservation,
        &AgentDuty::onDrained,
    };

    /** The event that tells the decisions of a command which the adapter had no room for; nothing for a cancel. */
    struct RefusalOf {
        std::optional<EngineEvent> operator()(const EngineStart& command) const
        {
            return EngineRefused { command.generation, "too many streams" };
        }
        std::optional<EngineEvent> operator()(const EngineResume& command) const
        {
            return EngineStreamLost { command.generation };
        }
        std::optional<EngineEvent> operator()(const EngineCancel&) const { return std::nullopt; }
        std::optional<EngineEvent> operator()(const EngineOrder& command) const
        {
            return EngineOrderResult { command, false, "too many commands", false };
        }
    };

}

AgentDuty::AgentDuty(std::unique_ptr<AgentDecisions> decisions)
    : decisions(std::move(decisions))
    , duty("agent", ringCapacity, tickPeriod)
{
}

void AgentDuty::start(AgentPeers given)
{
    this->peers.emplace(std::move(given));
    this->duty.start(*this);
}

void AgentDuty::onToEntry(const ToEntry& action) { this->peers->links.send(action.entry, action.message); }

void AgentDuty::onToEngine(const ToEngine& action)
{
    if (this->peers->engine == nullptr || !this->peers->engine->submit(action.command))
        this->refuseCommand(action.command);
}

void AgentDuty::refuseCommand(const EngineCommand& command)
{
    if (auto event = std::visit(RefusalOf {}, command))
        this->refused.emplace_back(FromEngine { std::move(*event) });
    else if (const auto* cancel = std::get_if<EngineCancel>(&command))
        this->delayedCancels.push_back(*cancel);
}

void AgentDuty::onToService(const ToService& action)
{
    if (this->peers->service != nullptr && this->peers->service->submit(action.forward))
        return;
    auto& lost = this->refused.emplace_back().emplace<FromService>();
    lost.event = ServiceCallFailed { action.forward.call, Executed::No };
}

void AgentDuty::onToPlatform(const ToPlatform& action)
{
    if (!this->peers->platform.submit(action.operation))
        this->refused.emplace_back(
            FromPlatform { PlatformReply { action.operation.operation, PlatformUnavailable { false } } });
}

void AgentDuty::onLog(const LogEvent& action) { this->peers->telemetry.log(action); }

void AgentDuty::onObservation(const Observation& action) { this->peers->telemetry.observe(action); }

void AgentDuty::onDrained(const AgentDrained&)
{
    if (this->peers->drained)
        this->peers->drained();
}

void AgentDuty::decide(const AgentEvent& event, Instant now)
{
    for (const AgentAction& action : this->decisions->handle(event, now))
        actionTable.dispatch(*this, action);
    this->ready.store(this->decisions->ready());
}

void AgentDuty::handle(const AgentEvent& event, Instant now)
{
    this->decide(event, now);
    while (!this->refused.empty()) {
        const AgentEvent next = std::move(this->refused.front());
        this->refused.pop_front();
        this->decide(next, now);
    }
}

void AgentDuty::tick(Instant now)
{
    for (const EngineCancel& cancel : std::exchange(this->delayedCancels, {}))
        this->onToEngine(ToEngine { cancel });
    this->handle(AgentTick {}, now);
}

}
