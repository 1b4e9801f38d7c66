#pragma once

#include "adapters/metrics/MetricStore.h"
#include "core/common/HandlerTable.h"
#include "ports/EntryInterfaces.h"
#include "runtime/Duty.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace teaselfold {

/** A value sampled on request, such as the configuration's age. */
struct Gauge {
    /** Metric name without the common prefix, such as `configuration_version`. */
    std::string name;
    std::vector<LogField> labels;
    double value { 0 };
};

/** Supplies gauges for /metrics. Called from the threads that serve HTTP. */
class GaugeSource {
public:
    virtual ~GaugeSource() = default;
    virtual std::vector<Gauge> gauges() const = 0;
};

/** Collects logs and metrics. Callers push into a bounded ring; the telemetry duty writes and aggregates. */
class TelemetryHub final : public Telemetry, private DutyHandler<std::variant<LogEvent, Observation>> {
public:
    using LogSink = std::function<void(const LogEvent&)>;

    explicit TelemetryHub(LogSink sink);
    ~TelemetryHub() override { this->stop(); }

    /** Starts the telemetry duty. */
    void start() { this->duty.start(*this); }
    /** Processes the queued events and joins the thread. Idempotent. */
    void stop() { this->duty.stop(); }

    /** Never blocks. If the ring is full, the event is dropped and counted. */
    void log(const LogEvent& event) override;
    /** Never blocks. If the ring is full, the observation is dropped and counted. */
    void observe(const Observation& observation) override;

    /** Registers gauges. Call before the first call of `renderPrometheus`. @param source the gauges; must outlive the
     * hub. */
    void addGaugeSource(const GaugeSource& source) { this->sources.push_back(&source); }
    /** @return all metrics in the Prometheus text format. */
    std::string renderPrometheus() const;

private:
    using Event = std::variant<LogEvent, Observation>;

    void handle(const Event& event, Instant now) override;
    void tick(Instant) override { }
    void handleLog(const LogEvent& event);
    void handleObservation(const Observation& observation);

    LogSink sink;
    mutable std::mutex storeMutex;
    MetricStore store;
    std::vector<const GaugeSource*> sources;
    std::atomic<std::uint64_t> droppedCount { 0 };
    Duty<Event> duty;
};

/** Builds a TelemetryHub. */
class TelemetryHubBuilder {
public:
    /** @param sink writes one log event; called only by the telemetry duty. */
    TelemetryHubBuilder& withLogSink(TelemetryHub::LogSink sink);
    std::unique_ptr<TelemetryHub> build() const;

private:
    TelemetryHub::LogSink sink;
};

}
