#pragma once

#include "ports/Time.h"

#include <boost/histogram.hpp>

#include <cstdint>

namespace teaselfold {

/** Durations from 10 microseconds to an hour in logarithmic bins of about 5%. Shorter ones count as zero. */
class Distribution {
public:
    Distribution();

    void add(Duration value);
    /** Adds all values of another distribution. */
    void merge(const Distribution& other);

    std::uint64_t count() const { return this->total; }

    /** @param share in [0, 1]. @return an upper bound of the value below which that share lies; zero when empty. */
    Duration quantile(double share) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>>;

    Histogram histogram;
    std::uint64_t total { 0 };
};

}
