#include "emulator/host/FaultSwitch.h"

#include "emulator/host/LogLine.h"

#include <cstdlib>

namespace teaselfold {

namespace {

    constexpr int killedExitCode = 70;
    constexpr std::size_t rememberedConnections = 65536;

}

void FaultSwitch::set(const Fault& next)
{
    logLine(LogEvent { "fault_set", { { "mode", next.mode }, { "delay_ms", std::to_string(next.delay.count()) } } });
    if (next.mode == "die")
        std::_Exit(killedExitCode);
    {
        std::lock_guard lock(this->mutex);
        if (next.mode == "silent")
            ++this->silences;
        this->fault = next;
    }
    this->changed.notify_all();
}

Fault FaultSwitch::current() const
{
    std::lock_guard lock(this->mutex);
    return this->fault;
}

bool FaultSwitch::isSilent(const std::string& connection)
{
    if (this->firstSeen.size() > rememberedConnections)
        this->firstSeen.clear();
    const auto [place, added] = this->firstSeen.try_emplace(connection, this->silences);
    return place->second < this->silences;
}

FaultVerdict FaultSwitch::enter(const std::string& connection)
{
    std::unique_lock lock(this->mutex);
    if (this->isSilent(connection)) {
        this->changed.wait(lock, [&] { return this->stopped; });
        return FaultVerdict::Cut;
    }
    this->changed.wait(lock, [&] { return this->stopped || this->fault.mode != "freeze"; });
    if (this->fault.mode == "slow") {
        const Instant until = std::chrono::steady_clock::now() + this->fault.delay;
        this->changed.wait_until(lock, until, [&] { return this->stopped; });
    }
    if (this->fault.mode == "down")
        return FaultVerdict::Cut;
    return this->fault.mode == "lose_answers" ? FaultVerdict::CutAfterWork : FaultVerdict::Proceed;
}

bool FaultSwitch::mayWrite(const std::string& connection)
{
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [&] { return this->stopped || this->fault.mode != "freeze"; });
    return !this->isSilent(connection);
}

void FaultSwitch::afterRun() const
{
    if (this->current().mode == "die_after_run")
        std::_Exit(killedExitCode);
}

void FaultSwitch::holdSilent()
{
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [&] { return this->stopped; });
}

void FaultSwitch::stop()
{
    {
        std::lock_guard lock(this->mutex);
        this->stopped = true;
    }
    this->changed.notify_all();
}

}
