#include "adapters/metrics/TelemetryHub.h"

#include "adapters/metrics/PrometheusText.h"
#include "core/common/Check.h"

#include <map>

namespace teaselfold {

namespace {

    constexpr std::size_t ringCapacity = 16384;
    constexpr Seconds tickPeriod(1);

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

TelemetryHub::TelemetryHub(LogSink sink)
    : sink(std::move(sink))
    , duty("telemetry", ringCapacity, tickPeriod)
{
}

void TelemetryHub::log(const LogEvent& event)
{
    if (!this->duty.ring().tryPush(event))
        ++this->droppedCount;
}

void TelemetryHub::observe(const Observation& observation)
{
    if (!this->duty.ring().tryPush(observation))
        ++this->droppedCount;
}

void TelemetryHub::handle(const Event& event, Instant)
{
    static const HandlerTable<TelemetryHub, void, Event> handlers(
        &TelemetryHub::handleLog, &TelemetryHub::handleObservation);
    handlers.dispatch(*this, event);
}

void TelemetryHub::handleLog(const LogEvent& event) { this->sink(event); }

void TelemetryHub::handleObservation(const Observation& observation)
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
    Internal::appendMetricHeader(text, name, "counter", "Log events and observations that found the ring full.");
    Internal::appendSample(text, name, {}, static_cast<double>(this->droppedCount.load()));
    appendGauges(text, this->sources);
    return text;
}

TelemetryHubBuilder& TelemetryHubBuilder::withLogSink(TelemetryHub::LogSink logSink)
{
    this->sink = std::move(logSink);
    return *this;
}

std::unique_ptr<TelemetryHub> TelemetryHubBuilder::build() const
{
    internalCheck(this->sink != nullptr, "a telemetry hub requires a log sink");
    return std::make_unique<TelemetryHub>(this->sink);
}

}
