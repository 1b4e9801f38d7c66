#pragma once

#include "core/control/ActKeeper.h"
#include "core/control/NotePublisher.h"
#include "core/control/OrderKeeper.h"
#include "core/control/SnapshotWriter.h"

#include <map>
#include <vector>

namespace teaselfold {

/**
 * Keeps the configuration and the service orders of one entry: publishes notes, follows the table, takes in what
 * peers know, and answers operators. Has no thread and no clock.
 */
class ConfigurationKeeper {
public:
    /**
     * @param event what happened.
     * @param now the time of the event.
     * @return what is to be done, in this order.
     */
    std::vector<ControlAction> handle(const ControlEvent& event, Instant now);

    /** @return whether a configuration is in force. */
    bool isReady() const { return this->fleets.isReady(); }

private:
    friend class ConfigurationKeeperBuilder;
    struct EventTable;
    struct ReplyTable;
    struct KnownReport {
        LoadReport report;
        Instant arrived;
    };

    ConfigurationKeeper(EntryId entry, const DocumentCodec& codec, Randomness& randomness, const ControlLimits& limits,
        StrategyNames strategies);

    void onPublish(const PublishNote& event, ControlContext& context);
    void onOrder(const IssueOrder& event, ControlContext& context);
    void onQueryConfiguration(const QueryConfiguration& event, ControlContext& context);
    void onQueryHistory(const QueryHistory& event, ControlContext& context);
    void onQueryQuarantine(const QueryQuarantine& event, ControlContext& context);
    void onRelease(const ReleaseQuarantined& event, ControlContext& context);
    void onQueryActs(const QueryAuditLog& event, ControlContext& context);
    void onSuspectsTold(const SuspectsListed& event, ControlContext& context);
    void onSuspectReleased(const SuspectReleased& event, ControlContext& context);
    void onPeer(const PeerUpdate& event, ControlContext& context);
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

    void onActWrite(const ActWrite& purpose, const PlatformResult& result, ControlContext& context);
    void onActScan(const ActScan& purpose, const PlatformResult& result, ControlContext& context);

    void takeResult(const OperationPurpose& purpose, const PlatformResult& result, ControlContext& context);
    void poll(bool paused, ControlContext& context);
    bool knowsSubject(const OrderSubject& subject) const;
    bool wasPaused(Instant now) const;

    EntryId entry;
    const DocumentCodec* codec;
    Randomness* randomness;
    ControlLimits limits;
    ControlOperations operations;
    FleetKeeper fleets;
    NotePublisher publisher;
    SnapshotWriter snapshots;
    OrderKeeper orders;
    ActKeeper acts;
    std::map<EndpointId, KnownReport> reports;
    InstanceList instances;
    bool listingInstances { false };
    bool tableReachable { false };
    std::optional<Instant> lastTick;
    Instant nextPoll {};
};

/** Collects what a ConfigurationKeeper needs. */
class ConfigurationKeeperBuilder {
public:
    ConfigurationKeeperBuilder& withEntry(EntryId id);
    /** @param documents must outlive the keeper. */
    ConfigurationKeeperBuilder& withCodec(const DocumentCodec& documents);
    /** @param source must outlive the keeper. */
    ConfigurationKeeperBuilder& withRandomness(Randomness& source);
    ConfigurationKeeperBuilder& withLimits(const ControlLimits& values);
    /** @param names the strategy names that notes may use. */
    ConfigurationKeeperBuilder& withStrategies(StrategyNames names);
    /** @return the keeper. Codec and randomness must have been set. */
    ConfigurationKeeper build() const;

private:
    EntryId entry;
    const DocumentCodec* codec { nullptr };
    Randomness* randomness { nullptr };
    ControlLimits limits;
    StrategyNames strategies;
};

}
