#pragma once

#include "core/control/AuditLog.h"
#include "core/control/NotePublisher.h"
#include "core/control/OrderRegistry.h"
#include "core/control/SnapshotWriter.h"

#include <map>
#include <vector>

namespace teaselfold {

/**
 * Maintains the configuration and the service orders of one entry: publishes notes, polls the platform's table, merges
 * peers' state and answers operators. It has no thread and no clock: the caller passes the events and the time.
 */
class ConfigurationController {
public:
    /**
     * Handles one event.
     * @param now the time of the event.
     * @return the actions to carry out, in this order.
     */
    std::vector<ControlAction> handle(const ControlEvent& event, Instant now);

    /** @return whether a configuration is in force. */
    bool isReady() const { return this->fleetReplica.isReady(); }

private:
    friend class ConfigurationControllerBuilder;
    struct EventTable;
    struct ReplyTable;
    struct ReceivedReport {
        LoadReport report;
        Instant receivedAt;
    };

    ConfigurationController(EntryId entry, const DocumentCodec& codec, Randomness& randomness,
        const ControlLimits& limits, StrategyNames strategies);

    void onPublish(const PublishNote& event, ControlContext& context);
    void onOrder(const IssueOrder& event, ControlContext& context);
    void onQueryConfiguration(const QueryConfiguration& event, ControlContext& context);
    void onQueryHistory(const QueryHistory& event, ControlContext& context);
    void onQueryQuarantine(const QueryQuarantine& event, ControlContext& context);
    void onReleaseQuarantined(const ReleaseQuarantined& event, ControlContext& context);
    void onQueryAuditLog(const QueryAuditLog& event, ControlContext& context);
    void onSuspectsListed(const SuspectsListed& event, ControlContext& context);
    void onSuspectReleased(const SuspectReleased& event, ControlContext& context);
    void onPeerUpdate(const PeerUpdate& event, ControlContext& context);
    void onReply(const ControlPlatformReply& event, ControlContext& context);
    void onTick(const ControlTick& event, ControlContext& context);

    void onSnapshotRowLookup(const SnapshotRowLookup&, const PlatformResult& result, ControlContext& context);
    void onSnapshotLoad(const SnapshotLoad&, const PlatformResult& result, ControlContext& context);
    void onNoteScan(const NoteScan&, const PlatformResult& result, ControlContext& context);
    void onOrderScan(const OrderScan&, const PlatformResult& result, ControlContext& context);
    void onInstanceScan(const InstanceScan&, const PlatformResult& result, ControlContext& context);
    void onNoteInsert(const NoteInsert& purpose, const PlatformResult& result, ControlContext& context);
    void onNoteReadBack(const NoteReadBack& purpose, const PlatformResult& result, ControlContext& context);
    void onHistoryScan(const HistoryScan& purpose, const PlatformResult& result, ControlContext& context);
    void onSnapshotCheck(const SnapshotCheck&, const PlatformResult& result, ControlContext& context);
    void onSnapshotObject(const SnapshotObjectWrite& purpose, const PlatformResult& result, ControlContext& context);
    void onSnapshotRow(const SnapshotRowWrite& purpose, const PlatformResult& result, ControlContext& context);
    void onOrderWrite(const OrderWrite& purpose, const PlatformResult& result, ControlContext& context);

    void onAuditRecordWrite(const AuditRecordWrite& purpose, const PlatformResult& result, ControlContext& context);
    void onAuditLogScan(const AuditLogScan& purpose, const PlatformResult& result, ControlContext& context);

    void handleResult(const OperationPurpose& purpose, const PlatformResult& result, ControlContext& context);
    void poll(bool paused, ControlContext& context);
    bool fleetContains(const OrderSubject& subject) const;
    bool wasPaused(Instant now) const;

    EntryId entry;
    const DocumentCodec* codec;
    Randomness* randomness;
    ControlLimits limits;
    PendingOperations pendingOperations;
    FleetReplica fleetReplica;
    NotePublisher publisher;
    SnapshotWriter snapshotWriter;
    OrderRegistry orderRegistry;
    AuditLog auditLog;
    std::map<EndpointId, ReceivedReport> loadReports;
    InstanceList instances;
    bool listingInstances { false };
    bool tableReachable { false };
    std::optional<Instant> lastTick;
    Instant nextPoll {};
};

/** Builds a ConfigurationController. */
class ConfigurationControllerBuilder {
public:
    ConfigurationControllerBuilder& withEntry(EntryId id);
    /** @param documents the codec; must outlive the controller. */
    ConfigurationControllerBuilder& withCodec(const DocumentCodec& documents);
    /** @param source the source of random numbers; must outlive the controller. */
    ConfigurationControllerBuilder& withRandomness(Randomness& source);
    ConfigurationControllerBuilder& withLimits(const ControlLimits& values);
    /** @param names the strategy names that notes may use. */
    ConfigurationControllerBuilder& withStrategies(StrategyNames names);
    /** @return the controller. The codec and the randomness must have been set. */
    ConfigurationController build() const;

private:
    EntryId entry;
    const DocumentCodec* codec { nullptr };
    Randomness* randomness { nullptr };
    ControlLimits limits;
    StrategyNames strategies;
};

}
