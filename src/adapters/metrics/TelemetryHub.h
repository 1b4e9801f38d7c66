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

/** One value at the moment of asking, such as the configuration's age. */
struct Gauge {
    /** Name without the common prefix, in the collectors' form: `configuration_version`. */
    std::string name;
    std::vector<LogField> labels;
    double value { 0 };
};

/** Gives gauges for /metrics. Called from the threads that serve HTTP. */
class GaugeSource {
public:
    virtual ~GaugeSource() = default;
    virtual std::vector<Gauge> gauges() const = 0;
};

/** Logs and metrics: callers only push into a bounded ring, the telemetry duty writes and counts. */
class TelemetryHub final : public Telemetry, private DutyHandler<std::variant<LogEvent, Observation>> {
public:
    using LogSink = std::function<void(const LogEvent&)>;

    explicit TelemetryHub(LogSink sink);
    ~TelemetryHub() override { this->stop(); }

    /** Starts the telemetry duty. */
    void start() { this->duty.start(*this); }
    /** Writes what waits and joins the thread. Idempotent. */
    void stop() { this->duty.stop(); }

    /** Never blocks; an event that finds the ring full is counted as dropped. */
    void log(const LogEvent& event) override;
    /** Never blocks; an observation that finds the ring full is counted as dropped. */
    void observe(const Observation& observation) override;

    /** Adds gauges to the text. Before the first rendering. @param source must outlive the hub. */
    void addGauges(const GaugeSource& source) { this->sources.push_back(&source); }
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
    std::atomic<std::uint64_t> dropped { 0 };
    Duty<Event> duty;
};

/** Builds a TelemetryHub. */
class TelemetryHubBuilder {
public:
    /** @param sink writes one log event; called on the telemetry duty only. */
    TelemetryHubBuilder& withLogSink(TelemetryHub::LogSink sink);
    std::unique_ptr<TelemetryHub> build() const;

private:
    TelemetryHub::LogSink sink;
};

}
