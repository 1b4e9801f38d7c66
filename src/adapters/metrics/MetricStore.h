#pragma once

#include "ports/Telemetry.h"

#include <boost/histogram.hpp>

#include <map>
#include <set>
#include <string>
#include <tuple>

namespace teaselfold {

/** Teams with metrics of their own; what further teams do is counted for the team `other`. */
constexpr std::size_t maximumMetricTeams = 400;
/** Labels of one counter that are kept apart; further ones are counted as `other`. */
constexpr std::size_t maximumMetricLabels = 40;

/** Histograms and counters for each metric, team and priority class, bounded in number. Not thread-safe. */
class MetricStore {
public:
    /** Counts one observation. */
    void record(const Observation& observation);
    /** @return all histograms and counters in the Prometheus text format. */
    std::string render() const;
    /** @return how many histograms and counters are kept. */
    std::size_t seriesCount() const { return this->histograms.size() + this->counters.size(); }

private:
    using Axis = boost::histogram::axis::variable<double>;
    using Counts = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::default_storage>;
    struct Measured {
        Counts counts;
        double sum { 0 };
        std::uint64_t total { 0 };
    };
    using SeriesKey = std::tuple<Metric, std::string, PriorityClass>;
    using CounterKey = std::tuple<Metric, std::string, PriorityClass, std::string>;

    std::string boundedTeam(const TeamId& team);
    std::string boundedLabel(Metric metric, const std::string& label);
    Measured& seriesOf(const SeriesKey& key);
    void renderCounters(std::string& text, Metric metric, const std::string& name) const;
    void renderHistograms(std::string& text, Metric metric, const std::string& name) const;

    std::set<std::string> teams;
    std::map<Metric, std::set<std::string>> labels;
    std::map<SeriesKey, Measured> histograms;
    std::map<CounterKey, double> counters;
};

}
