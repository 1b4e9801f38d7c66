#pragma once

#include "core/common/ServiceOrders.h"
#include "core/control/ControlContext.h"

namespace teaselfold {

/**
 * Keeps the service orders. An order is in force as soon as it is given; the table's confirmation follows when the
 * table answers.
 */
class OrderKeeper {
public:
    const ServiceOrders& orders() const { return this->known; }

    /** Puts an operator's order in force and starts to record it. */
    void give(const IssueOrder& request, ControlContext& context);
    /** Takes in what a peer knows. */
    void takePeerOrders(const std::vector<ServiceOrder>& orders, ControlContext& context);
    /** Starts a read of the table's orders unless one is under way. */
    void poll(ControlContext& context);
    /** Starts a read of the table's orders even when one is under way. */
    void refresh(ControlContext& context);
    void onScan(const PlatformResult& result, ControlContext& context);
    void onWrite(const OrderWrite& purpose, const PlatformResult& result, ControlContext& context);
    /** Retries writes and answers operators who waited long enough. */
    void tick(ControlContext& context);

private:
    /** An order in force that the table has not confirmed. */
    struct Recording {
        ServiceOrder order;
        std::optional<AdminRequestId> admin;
        Instant answerBy {};
        Instant nextTry {};
        bool writing { false };
    };

    bool merge(const ServiceOrder& order, ControlContext& context);
    void settle(const OrderSubject& subject, ControlContext& context);
    bool takeRow(const TableRecord& row, ControlContext& context);
    void write(Recording& recording, ControlContext& context);
    void answerUnrecorded(Recording& recording, ControlContext& context);
    void announce(ControlContext& context);

    ServiceOrders known;
    std::map<OrderSubject, Recording> recordings;
    /** Versions of the table's rows, for conditional writes. */
    std::map<OrderSubject, std::uint64_t> rowVersions;
    std::string scanAfter;
    bool scanning { false };
};

}
