#include "emulator/host/FaultInjector.h"

#include "emulator/host/LogLine.h"

#include <cstdlib>

namespace teaselfold {

namespace {

    constexpr int dieExitCode = 70;
    constexpr std::size_t maxTrackedConnections = 65536;

}

void FaultInjector::set(const Fault& next)
{
    logLine(LogEvent { "fault_set", { { "mode", next.mode }, { "delay_ms", std::to_string(next.delay.count()) } } });
    if (next.mode == "die")
        std::_Exit(dieExitCode);
    {
        std::lock_guard lock(this->mutex);
        if (next.mode == "silent")
            ++this->silenceEpoch;
        this->fault = next;
    }
    this->changed.notify_all();
}

Fault FaultInjector::current() const
{
    std::lock_guard lock(this->mutex);
    return this->fault;
}

bool FaultInjector::isSilent(const std::string& connection)
{
    if (this->firstSeenEpoch.size() > maxTrackedConnections)
        this->firstSeenEpoch.clear();
    const auto [entry, added] = this->firstSeenEpoch.try_emplace(connection, this->silenceEpoch);
    return entry->second < this->silenceEpoch;
}

FaultAction FaultInjector::applyToRequest(const std::string& connection)
{
    std::unique_lock lock(this->mutex);
    if (this->isSilent(connection)) {
        this->changed.wait(lock, [&] { return this->stopped; });
        return FaultAction::DropConnection;
    }
    this->changed.wait(lock, [&] { return this->stopped || this->fault.mode != "freeze"; });
    if (this->fault.mode == "slow") {
        const Instant until = std::chrono::steady_clock::now() + this->fault.delay;
        this->changed.wait_until(lock, until, [&] { return this->stopped; });
    }
    if (this->fault.mode == "down")
        return FaultAction::DropConnection;
    return this->fault.mode == "lose_answers" ? FaultAction::DropConnectionAfterWork : FaultAction::Proceed;
}

bool FaultInjector::waitUntilWritable(const std::string& connection)
{
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [&] { return this->stopped || this->fault.mode != "freeze"; });
    return !this->isSilent(connection);
}

void FaultInjector::exitIfDieAfterRun() const
{
    if (this->current().mode == "die_after_run")
        std::_Exit(dieExitCode);
}

void FaultInjector::waitUntilStopped()
{
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [&] { return this->stopped; });
}

void FaultInjector::stop()
{
    {
        std::lock_guard lock(this->mutex);
        this->stopped = true;
    }
    this->changed.notify_all();
}

}
