#include "emulator/host/EngineHost.h"

#include "emulator/host/LogLine.h"

#include <algorithm>
#include <array>
#include <cstdlib>

namespace teaselfold {

namespace {

    constexpr std::size_t commandCapacity = 4096;
    constexpr int diedExitCode = 71;
    constexpr double crowdedMemoryShare = 0.25;
    constexpr ServerLimits limits { 1024, 256 };
    constexpr std::array knownModes { "none", "slow", "freeze", "die", "silent", "out_of_memory", "crowded",
        "turn_cold" };

    GenerationId generationOf(const EngineEvent& event)
    {
        return std::visit(
            [](const auto& one) {
                if constexpr (requires { one.generation; })
                    return one.generation;
                else
                    return GenerationId {};
            },
            event);
    }

    bool endsStream(const EngineEvent& event)
    {
        return std::holds_alternative<EngineFinished>(event) || std::holds_alternative<EngineRefused>(event)
            || std::holds_alternative<EngineGenerationNotFound>(event)
            || std::holds_alternative<EngineStreamLost>(event);
    }

}

EngineHost::EngineHost(EngineHostSettings hostSettings, const EngineSettings& engineSettings)
    : hostSettings(std::move(hostSettings))
    , model(engineSettings, Instant {})
    , commands(commandCapacity)
    , started(std::chrono::steady_clock::now())
    , server(
          this->hostSettings.listen, limits, this->faults, [this](Exchange& exchange) { this->serve(exchange); },
          [this](const Fault& fault) { return this->changeFault(fault); })
{
}

EngineHost::~EngineHost() { this->stop(); }

void EngineHost::start()
{
    this->thread = std::thread([this] { this->run(); });
    this->server.start();
}

void EngineHost::stop()
{
    this->commands.close();
    if (this->thread.joinable())
        this->thread.join();
    this->server.stop();
}

Instant EngineHost::modelTime(Instant now) const
{
    const Duration passed = this->frozenSince.value_or(now) - this->started - this->frozenTime;
    return Instant {}
    + Duration(static_cast<Duration::rep>(static_cast<double>(passed.count()) * this->hostSettings.timeScale));
}

Instant EngineHost::wakeTime() const
{
    constexpr Seconds longest { 3600 };
    const Instant now = std::chrono::steady_clock::now();
    if (this->diedAt)
        return *this->diedAt + this->hostSettings.reviveAfter;
    const Instant next = this->model.nextEvent();
    if (this->frozenSince || next == Instant::max())
        return now + longest;
    const Duration modelWait = std::max(Duration(0), next - this->modelTime(now));
    const double wait = static_cast<double>(modelWait.count()) / this->hostSettings.timeScale;
    return now + Duration(static_cast<Duration::rep>(wait) + 1);
}

void EngineHost::run()
{
    while (true) {
        const auto command = this->commands.popUntil(this->wakeTime());
        const Instant now = std::chrono::steady_clock::now();
        if (!command && this->commands.isClosed())
            break;
        if (!this->frozenSince)
            this->deliver(this->model.advance(this->modelTime(now)));
        if (command)
            std::visit([&](const auto& one) { this->handle(one, this->modelTime(now)); }, *command);
        if (!this->frozenSince && this->model.dead())
            this->deliver(this->model.advance(this->modelTime(now)));
        this->superviseDeath(now);
        this->promptReused = this->model.promptTokensReused();
        this->promptComputed = this->model.promptTokensComputed();
    }
    for (const auto& [generation, stream] : this->streams)
        stream->close();
}

void EngineHost::superviseDeath(Instant now)
{
    if (!this->model.dead())
        return;
    if (!this->diedAt) {
        this->diedAt = now;
        this->deadNow = true;
        logLine(LogEvent { "engine_died", { { "incarnation", std::to_string(this->model.incarnation()) } } });
        if (this->hostSettings.reviveAfter == Milliseconds(0))
            std::_Exit(diedExitCode);
        return;
    }
    if (now < *this->diedAt + this->hostSettings.reviveAfter)
        return;
    this->diedAt.reset();
    this->model.restart(this->modelTime(now));
    this->deadNow = false;
    logLine(LogEvent { "engine_restarted", { { "incarnation", std::to_string(this->model.incarnation()) } } });
}

void EngineHost::handle(const Begin& command, Instant now)
{
    const auto refused = this->model.submit(command.start, now);
    if (refused) {
        command.stream->tryPush(*refused);
        return;
    }
    this->streams[command.start.generation] = command.stream;
    // Tells the handler that the generation is taken, long before there is a token.
    command.stream->tryPush(EngineTokens { command.start.generation, 0, {} });
}

void EngineHost::handle(const Attach& command, Instant)
{
    const auto events = this->model.resume(command.resume);
    Stream& current = this->streams[command.resume.generation];
    if (current)
        current->close();
    current = command.stream;
    if (events.empty())
        command.stream->tryPush(EngineTokens { command.resume.generation, command.resume.nextIndex, {} });
    this->deliver(events);
}

void EngineHost::handle(const Cancel& command, Instant now)
{
    this->model.cancel(command.generation, now);
    this->deliver(command.generation, EngineStreamLost { command.generation });
}

void EngineHost::handle(const ReadReport& command, Instant now) { command.reply->tryPush(this->model.report(now)); }

void EngineHost::handle(const ReadCacheEvents& command, Instant now)
{
    command.reply->tryPush(this->model.cacheEvents(command.after, now));
}

void EngineHost::handle(const IssueOrder& command, Instant now)
{
    const EngineOrderResult result = this->model.order(command.order, now);
    logLine(LogEvent { "order",
        { { "name", command.order.name }, { "version", command.order.version },
            { "fence", std::to_string(command.order.fence) }, { "accepted", result.accepted ? "true" : "false" } } });
    command.reply->tryPush(result);
}

void EngineHost::handle(const ChangeFault& command, Instant now)
{
    const std::string& mode = command.fault.mode;
    const Instant clock = std::chrono::steady_clock::now();
    const bool crowded = mode == "crowded";
    this->model.setSlowdown(crowded || mode == "slow" ? command.fault.factor : 1);
    this->model.setMemoryShare(crowded || mode == "out_of_memory" ? crowdedMemoryShare : 1);
    if (mode == "turn_cold")
        this->model.turnCold(now);
    if (mode == "freeze" && !this->frozenSince)
        this->frozenSince = clock;
    if (mode != "freeze" && this->frozenSince)
        this->frozenTime += clock - *std::exchange(this->frozenSince, std::nullopt);
}

void EngineHost::deliver(const std::vector<EngineEvent>& events)
{
    for (const EngineEvent& event : events)
        this->deliver(generationOf(event), event);
}

void EngineHost::deliver(GenerationId generation, const EngineEvent& event)
{
    const auto found = this->streams.find(generation);
    if (found == this->streams.end())
        return;
    const bool delivered = found->second->tryPush(event);
    if (delivered && !endsStream(event))
        return;
    found->second->close();
    this->streams.erase(found);
}

bool EngineHost::changeFault(const Fault& fault)
{
    if (std::find(knownModes.begin(), knownModes.end(), fault.mode) == knownModes.end())
        return false;
    return this->commands.tryPush(ChangeFault { fault });
}

}
