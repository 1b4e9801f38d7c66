#pragma once

#include "ports/Fleet.h"

#include <cstdint>
#include <map>
#include <vector>

namespace teaselfold {

/** The order in force for each subject. Merging is commutative and idempotent, so that all replicas converge. */
class ServiceOrders {
public:
    /**
     * Replaces the subject's order when the given one supersedes it. A copy of the same order can only set its
     * `recorded` flag, which is never cleared.
     * @return whether anything changed.
     */
    bool merge(const ServiceOrder& order);

    /** @return an XXH3 digest of all orders. Replicas with the same orders have equal digests. */
    std::uint64_t digest() const;

    /** @return whether an order takes the zone out of service. */
    bool isOutOfService(const ZoneId& zone) const;

    /** @return whether an order takes the endpoint itself out of service; its zone's order is not considered. */
    bool isOutOfService(const EndpointId& endpoint) const;

    /** @return the order in force for a subject, valid until the next merge; null when there is none. */
    const ServiceOrder* find(const OrderSubject& subject) const;

    /** @return all orders in force, sorted by subject. */
    std::vector<ServiceOrder> all() const;

    /** @return the highest sequence number of all orders; zero when there is none. */
    std::uint64_t highestSequence() const;

private:
    bool isSubjectOutOfService(const OrderSubject& subject) const;

    std::map<OrderSubject, ServiceOrder> orders;
};

/** @return whether `left` has precedence over `right`, an order for the same subject. */
bool supersedes(const ServiceOrder& left, const ServiceOrder& right);

}
