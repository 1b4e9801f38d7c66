#pragma once

#include "core/gateway/CrashAttribution.h"
#include "core/gateway/GatewayState.h"
#include "core/gateway/MoveOrder.h"

#include <map>

namespace teaselfold {

/**
 * Live migration of streams away from draining engines. The KV cache is copied while the run continues; then the run is
 * stopped, the remainder is copied, and the stream resumes at the target engine. Each source engine migrates one run at
 * a time, since transfers from one engine queue behind each other. The next run is chosen when the previous migration
 * ends, since streams begin and end meanwhile.
 */
class StreamMigrator {
public:
    explicit StreamMigrator(GatewayState& state)
        : state(state)
        , crashes(state)
    {
    }

    /** Starts to migrate the streams of an engine that drains or was removed. */
    void drainEndpoint(const EndpointId& endpoint, Instant now, GatewayActions& actions);
    /** Starts no more migrations from an endpoint that was about to leave and stays. */
    void keepEndpoint(const EndpointId& endpoint);
    /** Handles an event of a stream at the endpoint. A stream can be migrated from its first event on. */
    void streamAdvanced(const EndpointId& endpoint, Instant now, GatewayActions& actions);
    /** Handles the response to a copy call. @return the request whose broken stream waited for it, if any. */
    std::optional<RequestId> migrationResponseReceived(
        const MigrationResponseReceived& event, Instant now, GatewayActions& actions);
    /** Handles the end of a stream at its engine, other than ExchangeEnd::Complete. */
    static void streamEnded(ActiveRequest& active, ExchangeEnd end);
    /** Handles an exchange that broke: an engine that drains has ended. */
    void exchangeBroke(const Exchange& exchange, const ServiceId& service, Instant now);
    /** Keeps the copies from which a run may go on whose engine ended. */
    void keepCopies(ActiveRequest& active);
    /**
     * Handles a stream whose connection broke or was given up. Its engine may still work on the run, which therefore
     * has to be stopped before it goes on elsewhere.
     */
    static void connectionLost(ActiveRequest& active, ExchangeId id, const Exchange& exchange, ExchangeEnd end);
    /** Asks the engine of a lost connection to stop the run. @return false if it cannot be asked. */
    bool stopRun(ActiveRequest& active, Instant now, GatewayActions& actions);
    /** @return true if the engine may have stopped the run for a migration, so that its stream ends early. */
    static bool mayBeStopped(const ActiveRequest& active);
    /** @return true if the stream ended with its connection, and its engine has stated that it did not stop the run. */
    static bool isOver(const ActiveRequest& active);
    /**
     * Ends the migration of a stream whose run may have been stopped for it.
     * @return the way back; unset if it has no copy, the response to a copy call is outstanding, or the run was not
     * stopped.
     */
    static std::optional<StoppedRun> takeStoppedRun(ActiveRequest& active);
    /** Prepares another migration of a stopped run that returns to its source. */
    void runReturned(ActiveRequest& active, Instant now);
    /**
     * @param stopCallAt when the source was last asked to stop the run, if it was.
     * @return true if the run was stopped a moment ago for a target that took requests then, so that the stream may
     * still resume there although the target has begun to leave.
     */
    static bool isTargetPrepared(std::optional<Instant> stopCallAt, Instant now);
    /** @return true if the stream ended and waits for the response to a copy call. */
    static bool isAwaitingAnswer(const ActiveRequest& active);
    /** Removes draining engines without a stream. */
    void expire(Instant now);
    /** Ends the migration of a request that is over, and starts the next one from its source. */
    void discard(const ActiveRequest& active, Instant now, GatewayActions& actions);

private:
    /** An engine that drains. */
    struct Draining {
        Instant since;
        /** The request that is being migrated from it. */
        std::optional<RequestId> migrating;
        bool hasEnded { false };
    };

    /** Ends the migration of a stream that ended early. @return the point at which it resumes, if any. */
    static std::optional<ResumePoint> takeResumePoint(ActiveRequest& active);
    MovableRun movableRun(const ActiveRequest& active) const;
    /** @return the time for which a draining engine is expected to go on. */
    Duration timeLeft(const EndpointId& source, const ServiceId& service, Instant now) const;
    void startNextMigration(const EndpointId& source, Instant now, GatewayActions& actions);
    /** @return the stream of the engine that is migrated first; null if none is worth migrating. */
    ActiveRequest* nextToMigrate(const EndpointId& source, Instant now);
    /** @return false while the engine wants no further calls. */
    bool acceptsCopyCalls(const EndpointId& source, Instant now) const;
    /** @return false if no target is available. */
    bool startMigration(ActiveRequest& active, const EndpointId& source, Instant now, GatewayActions& actions);
    /** Sends the copy call of the migration's phase. */
    void sendCopyCall(ActiveRequest& active, Instant now, GatewayActions& actions);
    bool isWorthMigrating(const ActiveRequest& active, Instant now) const;
    /** @return the engine that gets the rest of a run whose connection was lost; null if there is none. */
    const GatewayEndpoint* targetOfUnstoppedRun(const ActiveRequest& active, Instant now) const;
    /** @return false if the run's engine cannot be asked to stop it, or the run could not go on afterwards. */
    bool canStop(const ActiveRequest& active, Instant now) const;
    /** @return true if the response to a call that stops the run shows that its engine no longer works on it. */
    static bool hasEnded(const ActiveRequest& active, MigrationOutcome outcome);
    /** @return true if the stream could resume at the target if its run were stopped now. */
    bool canResumeAtTarget(const ActiveRequest& active, Instant now) const;
    /** Gives up the target for a run that goes on at its source, and looks for another one. A copy is kept until then.
     */
    void abandonTarget(ActiveRequest& active, Instant now, GatewayActions& actions);
    /** Releases the tokens reserved at the target, and lets the source migrate its next run. */
    void endMigration(const StreamMigration& migration);

    GatewayState& state;
    CrashAttribution crashes;
    std::map<EndpointId, Draining> draining;
    std::map<ExchangeId, RequestId> requestByExchange;
};

}
