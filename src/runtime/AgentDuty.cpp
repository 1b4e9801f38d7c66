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

    /** Maps a command that the engine adapter rejected to the event that reports it; a cancel is retried instead. */
    struct RejectionVisitor {
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

void AgentDuty::start(AgentDutyPorts newPorts)
{
    this->ports.emplace(std::move(newPorts));
    this->duty.start(*this);
}

void AgentDuty::onToEntry(const ToEntry& action) { this->ports->links.send(action.entry, action.message); }

void AgentDuty::onToEngine(const ToEngine& action)
{
    if (this->ports->engine == nullptr || !this->ports->engine->submit(action.command))
        this->handleRejectedCommand(action.command);
}

void AgentDuty::handleRejectedCommand(const EngineCommand& command)
{
    if (auto event = std::visit(RejectionVisitor {}, command))
        this->rejections.emplace_back(FromEngine { std::move(*event) });
    else if (const auto* cancel = std::get_if<EngineCancel>(&command))
        this->deferredCancels.push_back(*cancel);
}

void AgentDuty::onToService(const ToService& action)
{
    if (this->ports->service != nullptr && this->ports->service->submit(action.forward))
        return;
    auto& rejection = this->rejections.emplace_back().emplace<FromService>();
    rejection.event = ServiceCallFailed { action.forward.call, Executed::No };
}

void AgentDuty::onToPlatform(const ToPlatform& action)
{
    if (!this->ports->platform.submit(action.operation))
        this->rejections.emplace_back(
            FromPlatform { PlatformReply { action.operation.operation, PlatformUnavailable { false } } });
}

void AgentDuty::onLog(const LogEvent& action) { this->ports->telemetry.log(action); }

void AgentDuty::onObservation(const Observation& action) { this->ports->telemetry.observe(action); }

void AgentDuty::onDrained(const AgentDrained&)
{
    if (this->ports->drained)
        this->ports->drained();
}

void AgentDuty::process(const AgentEvent& event, Instant now)
{
    for (const AgentAction& action : this->decisions->handle(event, now))
        actionTable.dispatch(*this, action);
    this->ready.store(this->decisions->ready());
}

void AgentDuty::handle(const AgentEvent& event, Instant now)
{
    this->process(event, now);
    while (!this->rejections.empty()) {
        const AgentEvent next = std::move(this->rejections.front());
        this->rejections.pop_front();
        this->process(next, now);
    }
}

void AgentDuty::tick(Instant now)
{
    for (const EngineCancel& cancel : std::exchange(this->deferredCancels, {}))
        this->onToEngine(ToEngine { cancel });
    this->handle(AgentTick {}, now);
}

}
