#include "adapters/metrics/TelemetryHub.h"

#include "adapters/metrics/PrometheusText.h"
#include "core/common/Check.h"

#include <map>

namespace teaselfold {

namespace {

    constexpr std::size_t ringCapacity = 16384;
    constexpr Seconds tickPeriod(1);
    /** Time after the begin of a stop in which the log's reader may take the queued events. */
    constexpr Milliseconds longestStop(100);

    /** Appends the gauges grouped by name, because the text format requires one contiguous block per metric. */
    void appendGauges(std::string& text, const std::vector<const GaugeSource*>& sources)
    {
        std::map<std::string, std::vector<Gauge>> byName;
        for (const GaugeSource* source : sources) {
            for (Gauge& gauge : source->gauges())
                byName[gauge.name].push_back(std::move(gauge));
        }
        for (const auto& [name, gauges] : byName) {
            const std::string fullName = std::string(Internal::metricPrefix) + name;
            Internal::appendMetricHeader(text, fullName, "gauge", "Value at the time of the request.");
            for (const Gauge& gauge : gauges)
                Internal::appendSample(text, fullName, gauge.labels, gauge.value);
        }
    }

}

TelemetryHub::TelemetryHub(std::unique_ptr<LogOutput> output)
    : output(std::move(output))
    , logDuty("log", ringCapacity, tickPeriod)
    , metricsDuty("metrics", ringCapacity, tickPeriod)
{
}

void TelemetryHub::start()
{
    this->logDuty.start(*this);
    this->metricsDuty.start(*this);
}

void TelemetryHub::stop()
{
    this->output->limitWaits(std::chrono::steady_clock::now() + longestStop);
    this->logDuty.stop();
    this->metricsDuty.stop();
}

void TelemetryHub::log(const LogEvent& event)
{
    if (!this->logDuty.ring().tryPush(event))
        ++this->lostLines;
}

void TelemetryHub::observe(const Observation& observation)
{
    if (!this->metricsDuty.ring().tryPush(observation))
        ++this->droppedCount;
}

void TelemetryHub::handle(const LogEvent& event, Instant)
{
    this->reportLostLines();
    if (!this->output->write(event))
        ++this->lostLines;
}

void TelemetryHub::reportLostLines()
{
    const std::uint64_t lost = this->lostLines.load();
    if (lost == this->reportedLostLines)
        return;
    const std::uint64_t unreported = lost - this->reportedLostLines;
    if (this->output->write({ "log_lines_lost", { { "count", std::to_string(unreported) } } }))
        this->reportedLostLines = lost;
}

void TelemetryHub::handle(const Observation& observation, Instant)
{
    std::lock_guard lock(this->storeMutex);
    this->store.record(observation);
}

std::string TelemetryHub::renderPrometheus() const
{
    std::string text;
    {
        std::lock_guard lock(this->storeMutex);
        text = this->store.render();
    }
    const std::string name = std::string(Internal::metricPrefix) + "telemetry_dropped_total";
    Internal::appendMetricHeader(text, name, "counter", "Observations that found the ring full.");
    Internal::appendSample(text, name, {}, static_cast<double>(this->droppedCount.load()));
    const std::string linesName = std::string(Internal::metricPrefix) + "log_lines_lost_total";
    Internal::appendMetricHeader(text, linesName, "counter", "Log lines that found the ring full or were not written.");
    Internal::appendSample(text, linesName, {}, static_cast<double>(this->lostLines.load()));
    appendGauges(text, this->sources);
    return text;
}

TelemetryHubBuilder& TelemetryHubBuilder::withLogOutput(std::unique_ptr<LogOutput> logOutput)
{
    this->output = std::move(logOutput);
    return *this;
}

std::unique_ptr<TelemetryHub> TelemetryHubBuilder::build()
{
    internalCheck(this->output != nullptr, "a telemetry hub requires a log output");
    return std::make_unique<TelemetryHub>(std::move(this->output));
}

}
