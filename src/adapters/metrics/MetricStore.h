#pragma once

#include "ports/Telemetry.h"

#include <boost/histogram.hpp>

#include <map>
#include <set>
#include <string>
#include <tuple>

namespace teaselfold {

/** Maximum number of teams with separate series; further teams are aggregated as `other`. */
constexpr std::size_t maxMetricTeams = 400;
/** Maximum number of distinct labels of one counter; further labels are aggregated as `other`. */
constexpr std::size_t maxMetricLabels = 40;

/**
 * Holds a bounded number of series: a histogram for each metric, team and priority class, and a counter for each
 * combination of these with a label. Not thread-safe.
 */
class MetricStore {
public:
    /** Adds an observation to its series. Values that are not finite are ignored. */
    void record(const Observation& observation);
    /** @return all histograms and counters in the Prometheus text format. */
    std::string render() const;
    /** @return the number of histograms and counters. */
    std::size_t seriesCount() const { return this->histograms.size() + this->counters.size(); }

private:
    using Axis = boost::histogram::axis::variable<double>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::default_storage>;
    struct HistogramSeries {
        Histogram counts;
        double sum { 0 };
        std::uint64_t observationCount { 0 };
    };
    using SeriesKey = std::tuple<Metric, std::string, PriorityClass>;
    using CounterKey = std::tuple<Metric, std::string, PriorityClass, std::string>;

    /** @return the label of the team; `other` for a new team above the limit. */
    std::string boundedTeam(const TeamId& team);
    /** @return the label; `other` for a new label above the limit. */
    std::string boundedLabel(Metric metric, const std::string& label);
    HistogramSeries& findOrCreateSeries(const SeriesKey& key);
    void renderCounters(std::string& text, Metric metric, const std::string& name) const;
    void renderHistograms(std::string& text, Metric metric, const std::string& name) const;

    std::set<std::string> teams;
    std::map<Metric, std::set<std::string>> labels;
    std::map<SeriesKey, HistogramSeries> histograms;
    std::map<CounterKey, double> counters;
};

}
