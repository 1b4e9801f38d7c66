#include "adapters/logging/GlogLog.h"
#include "adapters/metrics/TelemetryHub.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

Observation firstToken(const std::string& team, double milliseconds)
{
    return { Metric::FirstToken, TeamId(team), PriorityClass::Standard, milliseconds, "" };
}

/** Appends the log lines to a list. */
class LineList final : public LogOutput {
public:
    explicit LineList(std::vector<std::string>& lines)
        : lines(lines)
    {
    }

    bool write(const LogEvent& event) override
    {
        this->lines.push_back(formatLogLine(event));
        return true;
    }
    void limitWaits(Instant) override { }

private:
    std::vector<std::string>& lines;
};

class FixedGauges final : public GaugeSource {
public:
    std::vector<Gauge> gauges() const override { return { { "configuration_version", {}, 12 } }; }
};

}

TEST_CASE("teams and labels above the limit share one series")
{
    MetricStore store;
    for (std::size_t team = 0; team < maxMetricTeams + 50; ++team)
        store.record(firstToken("team-" + std::to_string(team), 5));
    CHECK(store.seriesCount() == maxMetricTeams + 1);
    CHECK(contains(store.render(), "first_token_milliseconds_count{team=\"other\",class=\"standard\"} 50\n"));
    MetricStore labelled;
    for (std::size_t label = 0; label < maxMetricLabels + 50; ++label)
        labelled.record({ Metric::Refusal, TeamId("huye"), PriorityClass::Batch, 1, "code-" + std::to_string(label) });
    CHECK(labelled.seriesCount() == maxMetricLabels + 1);
}

TEST_CASE("histogram buckets include their upper bound and are cumulative, and label values are escaped")
{
    MetricStore store;
    store.record(firstToken("a\"b\n", 1));
    store.record(firstToken("a\"b\n", 26));
    store.record(firstToken("a\"b\n", 1e9));
    const std::string text = store.render();
    const std::string labels = "{team=\"a\\\"b\\n\",class=\"standard\"";
    CHECK(contains(text, "teaselfold_first_token_milliseconds_bucket" + labels + ",le=\"1\"} 1\n"));
    CHECK(contains(text, "teaselfold_first_token_milliseconds_bucket" + labels + ",le=\"20\"} 1\n"));
    CHECK(contains(text, "teaselfold_first_token_milliseconds_bucket" + labels + ",le=\"26\"} 2\n"));
    CHECK(contains(text, "teaselfold_first_token_milliseconds_bucket" + labels + ",le=\"+Inf\"} 3\n"));
    CHECK(contains(text, "teaselfold_first_token_milliseconds_count" + labels + "} 3\n"));
}

TEST_CASE("events queued before stop are processed, and later ones are counted as dropped")
{
    std::vector<std::string> lines;
    const FixedGauges gauges;
    auto hub = TelemetryHubBuilder().withLogOutput(std::make_unique<LineList>(lines)).build();
    hub->addGaugeSource(gauges);
    hub->start();
    hub->log({ "link_up", { { "endpoint", "drafter-1" } } });
    hub->observe({ Metric::Completed, TeamId("huye"), PriorityClass::Interactive, 1, "" });
    hub->stop();
    CHECK(lines == std::vector<std::string> { "event=link_up endpoint=drafter-1" });
    hub->observe({ Metric::Completed, TeamId("huye"), PriorityClass::Interactive, 1, "" });
    const std::string text = hub->renderPrometheus();
    CHECK(contains(text, "teaselfold_completed_total{team=\"huye\",class=\"interactive\"} 1\n"));
    CHECK(contains(text, "teaselfold_telemetry_dropped_total 1\n"));
    CHECK(contains(text, "teaselfold_configuration_version 12\n"));
}

TEST_CASE("log values with newlines or quotes are escaped and stay on one line")
{
    const LogEvent event { "bad\nname", { { "why", "two\nlines \"here\" \\" }, { "empty", "" }, { "a=b", "10.5s" } } };
    CHECK(formatLogLine(event) == "event=bad_name why=\"two\\x0alines \\\"here\\\" \\\\\" empty=\"\" a_b=10.5s");
}
