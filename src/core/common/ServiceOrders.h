#pragma once

#include "ports/Fleet.h"

#include <cstdint>
#include <map>
#include <vector>

namespace teaselfold {

/** The order in force for each subject. The result of merges does not depend on the order in which they happen. */
class ServiceOrders {
public:
    /**
     * Takes an order in when it wins against the one known for its subject. The same order seen again only adds the
     * knowledge that it is recorded, which is never lost.
     * @return whether anything changed.
     */
    bool merge(const ServiceOrder& order);

    /** @return an XXH3 digest of all orders, equal wherever the same orders are known. */
    std::uint64_t digest() const;

    /** @return whether an order takes the zone out of service. */
    bool isOutOfService(const ZoneId& zone) const;

    /** @return whether an order takes this endpoint itself out of service; its zone is a question of its own. */
    bool isOutOfService(const EndpointId& endpoint) const;

    /** @return the order in force for a subject; null when there is none. Valid until the next merge. */
    const ServiceOrder* find(const OrderSubject& subject) const;

    /** @return all orders in force, sorted by subject. */
    std::vector<ServiceOrder> all() const;

    /** @return the highest sequence known; zero when there is no order. */
    std::uint64_t highestSequence() const;

private:
    bool isSubjectOutOfService(const OrderSubject& subject) const;

    std::map<OrderSubject, ServiceOrder> orders;
};

/** @return whether `left` wins against `right`, an order for the same subject. */
bool supersedes(const ServiceOrder& left, const ServiceOrder& right);

}
