#pragma once

#include "core/control/ControlContext.h"

#include <map>
#include <string>

namespace teaselfold {

/** Keeps the record of every operator's act in the table: one row for each, never changed. */
class ActKeeper {
public:
    /** Logs an act and starts to record it. In an outage the record waits in memory. */
    void record(AuditRecord act, ControlContext& context);
    /** Starts to read the acts for an operator. */
    void query(const QueryAuditLog& request, ControlContext& context);
    void onWrite(const ActWrite& purpose, const PlatformResult& result, ControlContext& context);
    void onScan(const ActScan& purpose, const PlatformResult& result, ControlContext& context);
    /** Retries the writes that the table did not answer. */
    void tick(ControlContext& context);

private:
    struct Pending {
        AuditRecord act;
        Instant nextTry;
        bool writing { false };
    };

    void write(const std::string& key, Pending& pending, ControlContext& context);
    void addPending(AuditLogView& view) const;

    /** Acts without a confirmed record, by the key of the row. */
    std::map<std::string, Pending> waiting;
};

}
