#pragma once

#include "core/control/ControlContext.h"

#include <map>
#include <string>

namespace teaselfold {

/** The audit log of operators' acts in the platform's table: one immutable row for each act. */
class AuditLog {
public:
    /** Logs an act and starts to write its row. While the table is unavailable, the act is kept in memory. */
    void record(AuditRecord act, ControlContext& context);
    /** Starts a scan of the acts for an operator. */
    void query(const QueryAuditLog& request, ControlContext& context);
    void onWrite(const AuditRecordWrite& purpose, const PlatformResult& result, ControlContext& context);
    void onScan(const AuditLogScan& purpose, const PlatformResult& result, ControlContext& context);
    /** Retries writes that got no reply from the table. */
    void tick(ControlContext& context);

private:
    struct PendingRecord {
        AuditRecord act;
        Instant nextAttemptAt;
        bool writing { false };
    };

    void write(const std::string& key, PendingRecord& pending, ControlContext& context);
    void appendPending(AuditLogView& view) const;

    /** Acts whose rows the table has not confirmed, by row key. */
    std::map<std::string, PendingRecord> pendingRecords;
};

}
