#include "core/entry/RoutingPolicy.h"

#include "core/entry/Rendezvous.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace teaselfold {

namespace {

    /** Time between tokens assumed for an endpoint that has not reported one. */
    constexpr Microseconds defaultPace { 26000 };
    constexpr double boundedLoadFactor = 1.25;
    constexpr double permille = 1000;

    /** Estimated cost of one more generation: the endpoint's queue times its time per token, raised by memory use. */
    double cost(const EndpointState& candidate)
    {
        const Microseconds pace
            = candidate.report && candidate.report->pace.count() > 0 ? candidate.report->pace : defaultPace;
        const double memory = candidate.report ? candidate.report->memoryPermille / permille : 0;
        return static_cast<double>(outstanding(candidate) + 1) * static_cast<double>(pace.count()) * (1 + memory);
    }

    bool cheaper(const EndpointState* left, const EndpointState* right) { return cost(*left) < cost(*right); }

    class RoundRobin : public RoutingPolicy {
    public:
        const EndpointState& choose(
            const std::vector<const EndpointState*>& candidates, const RoutingQuery& query) const override
        {
            return *candidates[query.sequence % candidates.size()];
        }
    };

    class LeastOutstanding : public RoutingPolicy {
    public:
        const EndpointState& choose(
            const std::vector<const EndpointState*>& candidates, const RoutingQuery&) const override
        {
            return **std::ranges::min_element(
                candidates, {}, [](const auto* candidate) { return outstanding(*candidate); });
        }
    };

    /**
     * Rendezvous hashing on the prefix with bounded loads: takes the two highest-ranked candidates whose load is not
     * far above the mean, and chooses the cheaper.
     */
    class PrefixTwoChoice : public RoutingPolicy {
    public:
        const EndpointState& choose(
            const std::vector<const EndpointState*>& candidates, const RoutingQuery& query) const override
        {
            const double bound = this->loadBound(candidates);
            Weighted first;
            Weighted second;
            for (const EndpointState* candidate : candidates) {
                if (outstanding(*candidate) > bound)
                    continue;
                const Weighted next { rendezvousWeight(query.prefixHash, candidate->endpoint.id), candidate };
                if (next.precedes(first))
                    second = std::exchange(first, next);
                else if (next.precedes(second))
                    second = next;
            }
            if (!first.candidate)
                return **std::ranges::min_element(candidates, cheaper);
            return second.candidate && cheaper(second.candidate, first.candidate) ? *second.candidate
                                                                                  : *first.candidate;
        }

    private:
        /** A candidate and its rendezvous weight; an empty one ranks after all others. */
        struct Weighted {
            std::uint64_t weight { 0 };
            const EndpointState* candidate { nullptr };

            bool precedes(const Weighted& other) const
            {
                if (!other.candidate || this->weight != other.weight)
                    return !other.candidate || this->weight > other.weight;
                return this->candidate->endpoint.id > other.candidate->endpoint.id;
            }
        };

        static double loadBound(const std::vector<const EndpointState*>& candidates)
        {
            double total = 0;
            for (const EndpointState* candidate : candidates)
                total += outstanding(*candidate);
            return std::ceil(boundedLoadFactor * (total + 1) / static_cast<double>(candidates.size()));
        }
    };

    const PrefixTwoChoice prefixTwoChoice;
    const RoundRobin roundRobin;
    const LeastOutstanding leastOutstanding;

    struct PolicyRow {
        std::string_view name;
        const RoutingPolicy* policy;
    };

    const std::array policyRows {
        PolicyRow { "prefix-two-choice", &prefixTwoChoice },
        PolicyRow { "round-robin", &roundRobin },
        PolicyRow { "least-outstanding", &leastOutstanding },
    };

}

const RoutingPolicy& routingPolicy(std::string_view name)
{
    const auto found = std::ranges::find(policyRows, name, &PolicyRow::name);
    return found == policyRows.end() ? prefixTwoChoice : *found->policy;
}

}
