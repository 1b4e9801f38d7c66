#include "emulator/host/EngineHost.h"

#include "emulator/host/LogLine.h"

#include <algorithm>
#include <array>
#include <cstdlib>

namespace teaselfold {

namespace {

    constexpr std::size_t commandCapacity = 4096;
    constexpr int crashExitCode = 71;
    constexpr double crowdedMemoryShare = 0.25;
    constexpr ServerLimits limits { 1024, 256 };
    constexpr std::array supportedModes { "none", "slow", "freeze", "die", "silent", "out_of_memory", "crowded",
        "turn_cold" };

    GenerationId generationOf(const EngineEvent& event)
    {
        return std::visit(
            [](const auto& alternative) {
                if constexpr (requires { alternative.generation; })
                    return alternative.generation;
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
    , startTime(std::chrono::steady_clock::now())
    , server(
          this->hostSettings.listen, limits, this->faults, [this](HttpExchange& exchange) { this->serve(exchange); },
          [this](const Fault& fault) { return this->changeFault(fault); })
{
}

EngineHost::~EngineHost() { this->stop(); }

void EngineHost::start()
{
    this->modelThread = std::thread([this] { this->runModel(); });
    this->server.start();
}

void EngineHost::stop()
{
    this->commands.close();
    if (this->modelThread.joinable())
        this->modelThread.join();
    this->server.stop();
}

Instant EngineHost::modelTime(Instant now) const
{
    const Duration passed = this->frozenSince.value_or(now) - this->startTime - this->frozenDuration;
    return Instant {}
    + Duration(static_cast<Duration::rep>(static_cast<double>(passed.count()) * this->hostSettings.timeScale));
}

Instant EngineHost::wakeTime() const
{
    constexpr Seconds maxWait { 3600 };
    const Instant now = std::chrono::steady_clock::now();
    if (this->crashedAt)
        return *this->crashedAt + this->hostSettings.restartDelay;
    const Instant next = this->model.nextEventTime();
    if (this->frozenSince || next == Instant::max())
        return now + maxWait;
    const Duration modelWait = std::max(Duration(0), next - this->modelTime(now));
    const double wait = static_cast<double>(modelWait.count()) / this->hostSettings.timeScale;
    return now + Duration(static_cast<Duration::rep>(wait) + 1);
}

void EngineHost::runModel()
{
    while (true) {
        const auto command = this->commands.popUntil(this->wakeTime());
        const Instant now = std::chrono::steady_clock::now();
        if (!command && this->commands.isClosed())
            break;
        if (!this->frozenSince)
            this->deliver(this->model.advance(this->modelTime(now)));
        if (command)
            std::visit([&](const auto& alternative) { this->handle(alternative, this->modelTime(now)); }, *command);
        if (!this->frozenSince && this->model.isCrashed())
            this->deliver(this->model.advance(this->modelTime(now)));
        this->handleCrash(now);
        this->promptTokensReused = this->model.promptTokensReused();
        this->promptTokensComputed = this->model.promptTokensComputed();
    }
    for (const auto& [generation, stream] : this->streams)
        stream->close();
}

void EngineHost::handleCrash(Instant now)
{
    if (!this->model.isCrashed())
        return;
    if (!this->crashedAt) {
        this->crashedAt = now;
        this->crashed = true;
        logLine(LogEvent { "engine_died", { { "incarnation", std::to_string(this->model.incarnation()) } } });
        if (this->hostSettings.restartDelay == Milliseconds(0))
            std::_Exit(crashExitCode);
        return;
    }
    if (now < *this->crashedAt + this->hostSettings.restartDelay)
        return;
    this->crashedAt.reset();
    this->model.restart(this->modelTime(now));
    this->crashed = false;
    logLine(LogEvent { "engine_restarted", { { "incarnation", std::to_string(this->model.incarnation()) } } });
}

void EngineHost::handle(const StartCommand& command, Instant now)
{
    const auto refused = this->model.submit(command.start, now);
    if (refused) {
        command.stream->tryPush(*refused);
        return;
    }
    this->streams[command.start.generation] = command.stream;
    // An empty batch tells the HTTP thread that the generation was accepted, before the first token exists.
    command.stream->tryPush(EngineTokens { command.start.generation, 0, {} });
}

void EngineHost::handle(const ResumeCommand& command, Instant)
{
    const auto events = this->model.resume(command.resume);
    EventRing& current = this->streams[command.resume.generation];
    if (current)
        current->close();
    current = command.stream;
    if (events.empty())
        command.stream->tryPush(EngineTokens { command.resume.generation, command.resume.nextIndex, {} });
    this->deliver(events);
}

void EngineHost::handle(const CancelCommand& command, Instant now)
{
    this->model.cancel(command.generation, now);
    this->deliver(command.generation, EngineStreamLost { command.generation });
}

void EngineHost::handle(const ReportCommand& command, Instant now) { command.reply->tryPush(this->model.report(now)); }

void EngineHost::handle(const CacheEventsCommand& command, Instant now)
{
    command.reply->tryPush(this->model.cacheEvents(command.after, now));
}

void EngineHost::handle(const OrderCommand& command, Instant now)
{
    const EngineOrderResult result = this->model.executeOrder(command.order, now);
    logLine(LogEvent { "order",
        { { "name", command.order.name }, { "version", command.order.version },
            { "fence", std::to_string(command.order.fence) }, { "accepted", result.accepted ? "true" : "false" } } });
    command.reply->tryPush(result);
}

void EngineHost::handle(const FaultCommand& command, Instant now)
{
    const std::string& mode = command.fault.mode;
    const Instant clockNow = std::chrono::steady_clock::now();
    const bool crowded = mode == "crowded";
    this->model.setSlowdown(crowded || mode == "slow" ? command.fault.factor : 1);
    this->model.setMemoryShare(crowded || mode == "out_of_memory" ? crowdedMemoryShare : 1);
    if (mode == "turn_cold")
        this->model.turnCold(now);
    if (mode == "freeze" && !this->frozenSince)
        this->frozenSince = clockNow;
    if (mode != "freeze" && this->frozenSince)
        this->frozenDuration += clockNow - *std::exchange(this->frozenSince, std::nullopt);
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
    if (std::find(supportedModes.begin(), supportedModes.end(), fault.mode) == supportedModes.end())
        return false;
    return this->commands.tryPush(FaultCommand { fault });
}

}
