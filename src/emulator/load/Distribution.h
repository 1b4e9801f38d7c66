#pragma once

#include "ports/Time.h"

#include <boost/histogram.hpp>

#include <cstdint>

namespace teaselfold {

/**
 * Histogram of durations from 10 microseconds to one hour in logarithmic bins of about 5% width. Shorter durations
 * count as zero.
 */
class Distribution {
public:
    Distribution();

    void add(Duration value);
    void merge(const Distribution& other);

    std::uint64_t count() const { return this->total; }

    /**
     * @param probability the probability of the quantile in [0, 1], such as 0.99.
     * @return the upper bound of the bin that holds the quantile; zero if there are no values.
     */
    Duration quantile(double probability) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>>;

    Histogram histogram;
    std::uint64_t total { 0 };
};

}
