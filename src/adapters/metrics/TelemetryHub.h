#pragma once

#include "adapters/metrics/MetricStore.h"
#include "ports/EntryInterfaces.h"
#include "ports/LogOutput.h"
#include "runtime/Duty.h"

#include <atomic>
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

/**
 * Collects logs and metrics. Callers push into bounded rings; one duty writes the log, another one aggregates the
 * metrics, so that whoever reads the log slowly delays neither callers nor metrics nor the exit.
 */
class TelemetryHub final : public Telemetry, private DutyHandler<LogEvent>, private DutyHandler<Observation> {
public:
    /** @param output where the log goes; used by the hub's thread only. */
    explicit TelemetryHub(std::unique_ptr<LogOutput> output);
    ~TelemetryHub() override { this->stop(); }

    /** Starts both duties. */
    void start();
    /** Processes the queued events and joins the threads. Waits a short time at most for the log's reader. Idempotent.
     */
    void stop();

    /** Never blocks. If the ring is full, the event is lost, and a later line of the log tells how many were. */
    void log(const LogEvent& event) override;
    /** Never blocks. If the ring is full, the observation is dropped and counted. */
    void observe(const Observation& observation) override;

    /** Registers gauges. Call before the first call of `renderPrometheus`. @param source the gauges; must outlive the
     * hub. */
    void addGaugeSource(const GaugeSource& source) { this->sources.push_back(&source); }
    /** @return all metrics in the Prometheus text format. */
    std::string renderPrometheus() const;

private:
    void handle(const LogEvent& event, Instant now) override;
    void handle(const Observation& observation, Instant now) override;
    void tick(Instant) override { }
    /** Writes a line with the number of lines that were lost since the last such line. Called by the log's duty. */
    void reportLostLines();

    std::unique_ptr<LogOutput> output;
    mutable std::mutex storeMutex;
    MetricStore store;
    std::vector<const GaugeSource*> sources;
    std::atomic<std::uint64_t> droppedCount { 0 };
    std::atomic<std::uint64_t> lostLines { 0 };
    std::uint64_t reportedLostLines { 0 };
    Duty<LogEvent> logDuty;
    Duty<Observation> metricsDuty;
};

/** Builds a TelemetryHub. */
class TelemetryHubBuilder {
public:
    /** @param output writes the log events. */
    TelemetryHubBuilder& withLogOutput(std::unique_ptr<LogOutput> output);
    std::unique_ptr<TelemetryHub> build();

private:
    std::unique_ptr<LogOutput> output;
};

}
