#pragma once

#include <boost/histogram.hpp>

#include <cstddef>
#include <cstdint>

namespace teaselfold {

/** Learned distribution of the output lengths of generations, in tokens. Older observations lose weight. */
class LengthDistribution {
public:
    LengthDistribution();

    /** Records the length of a finished generation. */
    void observe(std::uint64_t tokens);
    /** Records a generation that was cut off: all that is known is that it would have been longer. */
    void observeAtLeast(std::uint64_t tokens);

    /**
     * @param generated output that exists already.
     * @param quantile between 0 and 1.
     * @return the quantile of the lengths greater than `generated`, in tokens.
     */
    double conditionalQuantile(std::uint64_t generated, double quantile) const;

    /** @return the number of bins, into which lengths are divided at equal ratios. */
    static std::size_t binCount();
    /** @return the typical length in a bin. */
    static double lengthOf(std::size_t bin);
    /** @return the weight of the observations in a bin. */
    double weightOf(std::size_t bin) const { return this->histogram.at(static_cast<int>(bin)); }
    /** @return the weight of all observations; their number until the first of them lose weight. */
    double totalWeight() const { return this->weight; }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using LengthHistogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>>;

    static const Axis& axis();
    /** Halves the weight of all observations when there are many. */
    void decay();

    LengthHistogram histogram;
    double weight { 0 };
};

}
