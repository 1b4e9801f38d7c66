#pragma once

#include "core/common/FleetUpdate.h"
#include "core/common/ServiceOrders.h"
#include "core/control/ControlLimits.h"
#include "core/control/FleetKeeper.h"
#include "core/control/OrderKeeper.h"
#include "core/control/PlatformOperations.h"
#include "ports/ControlPorts.h"
#include "ports/DocumentCodec.h"
#include "ports/Randomness.h"

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

    void onPublish(const PublishNote& event, Instant now);
    void onOrder(const GiveOrder& event, Instant now);
    void onQueryConfiguration(const QueryConfiguration& event, Instant now);
    void onQueryHistory(const QueryHistory& event, Instant now);
    void onPeer(const PeerKnowledge& event, Instant now);
    void onReply(const ControlPlatformReply& event, Instant now);
    void onTick(const ControlTick& event, Instant now);

private:
    friend class ConfigurationKeeperBuilder;
    struct KnownReport {
        LoadReport report;
        Instant arrived;
    };

    ConfigurationKeeper(const EntryId& entry, const DocumentCodec& codec, Randomness& randomness,
        const ControlLimits& limits, const StrategyNames& strategies);
    void refresh(Instant now);
    void takeInstances(const InstanceList& list);

    ControlLimits limits;
    PlatformOperations operations;
    FleetKeeper fleets;
    OrderKeeper orders;
    std::map<EndpointId, KnownReport> reports;
    InstanceList instances;
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
