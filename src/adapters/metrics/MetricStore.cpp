#include "adapters/metrics/MetricStore.h"

#include "adapters/metrics/PrometheusText.h"

#include <array>
#include <cmath>
#include <limits>
#include <vector>

namespace teaselfold {

namespace {

    enum class MetricKind : std::uint8_t {
        Counter,
        DurationHistogram,
        LengthHistogram,
    };

    struct MetricRow {
        Metric metric;
        std::string_view name;
        MetricKind kind;
        std::string_view helpText;
    };

    constexpr std::array metricRows {
        MetricRow { Metric::FirstToken, "first_token_milliseconds", MetricKind::DurationHistogram,
            "Time from the request to its first token." },
        MetricRow { Metric::BetweenTokens, "between_tokens_milliseconds", MetricKind::DurationHistogram,
            "Time between two tokens of one generation." },
        MetricRow { Metric::Stall, "stall_milliseconds", MetricKind::DurationHistogram,
            "Time in which a running generation gave no token though it should have." },
        MetricRow { Metric::QueueWait, "queue_wait_milliseconds", MetricKind::DurationHistogram,
            "Time a request waited before it ran." },
        MetricRow { Metric::OutputLength, "output_length_tokens", MetricKind::LengthHistogram,
            "Tokens of finished generations." },
        MetricRow { Metric::CallDuration, "call_duration_milliseconds", MetricKind::DurationHistogram,
            "Time a call to a plain service took." },
        MetricRow { Metric::Preemption, "preemptions_total", MetricKind::Counter, "Preemptions by the engine." },
        MetricRow { Metric::Refusal, "refusals_total", MetricKind::Counter, "Refused requests, by reason." },
        MetricRow { Metric::Retry, "retries_total", MetricKind::Counter, "Retries, by reason." },
        MetricRow { Metric::LinkResume, "link_resumptions_total", MetricKind::Counter, "Streams resumed on a link." },
        MetricRow { Metric::Completed, "completed_total", MetricKind::Counter, "Requests answered whole." },
        MetricRow { Metric::Failed, "failed_total", MetricKind::Counter, "Requests that failed, by reason." },
        MetricRow { Metric::Cancelled, "cancelled_total", MetricKind::Counter, "Requests given up by their callers." },
        MetricRow { Metric::RateLimited, "rate_limited_total", MetricKind::Counter,
            "Requests refused because every endpoint had reached the rate that it takes." },
        MetricRow { Metric::CallerShed, "callers_shed_total", MetricKind::Counter,
            "Callers' connections closed and bodies refused to save memory or connections, by reason." },
        MetricRow { Metric::ResponseShed, "responses_shed_total", MetricKind::Counter,
            "Responses of endpoints given up since all together took too much memory." },
        MetricRow { Metric::OutputLengthError, "output_length_error_tokens", MetricKind::LengthHistogram,
            "Tokens by which finished streams differ from the length expected on their arrival." },
    };
    static_assert(metricRows.size() == metricCount);

    constexpr std::array priorityNames { std::string_view("interactive"), std::string_view("standard"),
        std::string_view("batch") };
    static_assert(priorityNames.size() == priorityClassCount);

    const std::string otherName = "other";

    /** Upper bounds of the buckets, in milliseconds. */
    const std::vector<double> durationBounds { 1, 2, 5, 10, 15, 20, 26, 35, 50, 75, 100, 200, 350, 500, 770, 1000, 2000,
        5000, 10000, 30000, 60000, 300000 };
    /** Upper bounds of the buckets, in tokens. */
    const std::vector<double> lengthBounds { 1, 4, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 16384, 32768,
        65536 };

    const MetricRow& findMetricRow(Metric metric) { return metricRows[static_cast<std::size_t>(metric)]; }

    const std::vector<double>& boundsOf(MetricKind kind)
    {
        return kind == MetricKind::LengthHistogram ? lengthBounds : durationBounds;
    }

    /** @return bin edges that include each bound in the lower bin, as Prometheus defines `le`. */
    std::vector<double> inclusiveEdges(const std::vector<double>& bounds)
    {
        std::vector<double> edges;
        for (const double bound : bounds)
            edges.push_back(std::nextafter(bound, std::numeric_limits<double>::infinity()));
        return edges;
    }

    std::vector<LogField> labelsOf(const std::string& team, PriorityClass priority)
    {
        return { { "team", team }, { "class", std::string(priorityNames[static_cast<std::size_t>(priority)]) } };
    }

    std::string fullName(const MetricRow& row) { return std::string(Internal::metricPrefix) + std::string(row.name); }

}

void MetricStore::record(const Observation& observation)
{
    if (!std::isfinite(observation.value))
        return;
    const std::string team = this->boundedTeam(observation.team);
    if (findMetricRow(observation.metric).kind == MetricKind::Counter) {
        const std::string label = this->boundedLabel(observation.metric, observation.label);
        this->counters[{ observation.metric, team, observation.priority, label }] += observation.value;
        return;
    }
    HistogramSeries& series = this->findOrCreateSeries({ observation.metric, team, observation.priority });
    series.counts(observation.value);
    series.sum += observation.value;
    series.observationCount += 1;
}

MetricStore::HistogramSeries& MetricStore::findOrCreateSeries(const SeriesKey& key)
{
    const auto found = this->histograms.find(key);
    if (found != this->histograms.end())
        return found->second;
    const MetricKind kind = findMetricRow(std::get<Metric>(key)).kind;
    HistogramSeries newSeries { boost::histogram::make_histogram(Axis(inclusiveEdges(boundsOf(kind)))) };
    return this->histograms.emplace(key, std::move(newSeries)).first->second;
}

std::string MetricStore::boundedTeam(const TeamId& team)
{
    if (this->teams.contains(team.get()))
        return team.get();
    if (this->teams.size() >= maxMetricTeams)
        return otherName;
    this->teams.insert(team.get());
    return team.get();
}

std::string MetricStore::boundedLabel(Metric metric, const std::string& label)
{
    std::set<std::string>& known = this->labels[metric];
    if (known.contains(label))
        return label;
    if (known.size() >= maxMetricLabels)
        return otherName;
    known.insert(label);
    return label;
}

std::string MetricStore::render() const
{
    std::string text;
    for (const MetricRow& row : metricRows) {
        const std::string name = fullName(row);
        const bool isCounter = row.kind == MetricKind::Counter;
        Internal::appendMetricHeader(text, name, isCounter ? "counter" : "histogram", row.helpText);
        if (isCounter)
            this->renderCounters(text, row.metric, name);
        else
            this->renderHistograms(text, row.metric, name);
    }
    return text;
}

void MetricStore::renderCounters(std::string& text, Metric metric, const std::string& name) const
{
    for (auto item = this->counters.lower_bound({ metric, "", PriorityClass::Interactive, "" });
         item != this->counters.end() && std::get<Metric>(item->first) == metric; ++item) {
        const auto& [key, team, priority, label] = item->first;
        auto sampleLabels = labelsOf(team, priority);
        if (!label.empty())
            sampleLabels.push_back({ "reason", label });
        Internal::appendSample(text, name, sampleLabels, item->second);
    }
}

void MetricStore::renderHistograms(std::string& text, Metric metric, const std::string& name) const
{
    const std::vector<double>& bounds = boundsOf(findMetricRow(metric).kind);
    for (auto item = this->histograms.lower_bound({ metric, "", PriorityClass::Interactive });
         item != this->histograms.end() && std::get<Metric>(item->first) == metric; ++item) {
        const auto& [key, team, priority] = item->first;
        const HistogramSeries& series = item->second;
        const auto sampleLabels = labelsOf(team, priority);
        double cumulative = 0;
        for (std::size_t index = 0; index < bounds.size(); ++index) {
            // Bin -1 is the underflow bin, which holds all values up to the first bound.
            cumulative += static_cast<double>(series.counts.at(static_cast<int>(index) - 1));
            auto bucketLabels = sampleLabels;
            bucketLabels.push_back({ "le", Internal::formatSampleValue(bounds[index]) });
            Internal::appendSample(text, name + "_bucket", bucketLabels, cumulative);
        }
        auto lastLabels = sampleLabels;
        lastLabels.push_back({ "le", "+Inf" });
        Internal::appendSample(text, name + "_bucket", lastLabels, static_cast<double>(series.observationCount));
        Internal::appendSample(text, name + "_sum", sampleLabels, series.sum);
        Internal::appendSample(text, name + "_count", sampleLabels, static_cast<double>(series.observationCount));
    }
}

}
