#pragma once

#include "core/common/ServiceOrders.h"
#include "core/control/ControlContext.h"

namespace teaselfold {

/**
 * Holds the service orders and records them in the platform's table. An order is in force as soon as it is issued,
 * before the table confirms it.
 */
class OrderRegistry {
public:
    const ServiceOrders& orders() const { return this->serviceOrders; }

    /** Puts an operator's order in force and starts to write it to the table. */
    void issue(const IssueOrder& request, ControlContext& context);
    void mergePeerOrders(const std::vector<ServiceOrder>& orders, ControlContext& context);
    /** Starts a scan of the table's orders unless one is in progress. */
    void poll(ControlContext& context);
    /** Starts a scan of the table's orders even when one is in progress. */
    void refresh(ControlContext& context);
    void onScan(const PlatformResult& result, ControlContext& context);
    void onWrite(const OrderWrite& purpose, const PlatformResult& result, ControlContext& context);
    /** Retries writes and answers operators whose orders were not confirmed in time. */
    void tick(ControlContext& context);

private:
    /** An order in force that the table has not confirmed. */
    struct PendingOrder {
        ServiceOrder order;
        std::optional<AdminRequestId> admin;
        Instant answerDeadline {};
        Instant nextAttemptAt {};
        bool writing { false };
    };

    bool merge(const ServiceOrder& order, ControlContext& context);
    void resolvePending(const OrderSubject& subject, ControlContext& context);
    bool mergeRow(const TableRecord& row, ControlContext& context);
    void write(PendingOrder& pending, ControlContext& context);
    void answerUnrecorded(PendingOrder& pending, ControlContext& context);
    void notifyRouter(ControlContext& context);

    ServiceOrders serviceOrders;
    std::map<OrderSubject, PendingOrder> pendingOrders;
    /** Last known versions of the table's rows, for conditional writes. */
    std::map<OrderSubject, std::uint64_t> rowVersions;
    std::string scanAfter;
    bool scanning { false };
};

}
