#pragma once

#include "adapters/fleet/JsonDocumentCodec.h"
#include "core/control/ConfigurationController.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace teaselfold::test {

/** A deterministic source that counts up from a seed. */
class CountingRandomness : public Randomness {
public:
    explicit CountingRandomness(std::uint64_t seed)
        : last(seed)
    {
    }
    std::uint64_t next() override { return ++this->last; }

private:
    std::uint64_t last;
};

/** An in-memory platform with a table, an object store and an instance list. */
class MemoryPlatform {
public:
    PlatformResult serve(const PlatformRequest& request);

    std::map<std::string, TableRecord> rows;
    std::map<std::string, std::string> objects;
    InstanceList instances;

    PlatformResult operator()(const TableInsert& request);
    PlatformResult operator()(const TableReplace& request);
    PlatformResult operator()(const TableErase& request);
    PlatformResult operator()(const TableRead& request);
    PlatformResult operator()(const TableScan& request);
    PlatformResult operator()(const ObjectWrite& request);
    PlatformResult operator()(const ObjectRead& request);
    PlatformResult operator()(const InstanceListRead& request);
};

/** The fault injected into requests to the platform. */
enum class PlatformFault {
    None,
    /** The request takes effect, but its reply is lost. */
    ReplyLost,
    /** The request is not sent. */
    Unavailable,
};

/** One entry's controller with a manual clock. Several harnesses may share a platform. */
class ControlHarness {
public:
    ControlHarness(const std::string& entry, MemoryPlatform& platform, std::uint64_t seed = 0);

    /** Passes an event to the controller and serves the platform operations that result from it. */
    void send(const ControlEvent& event);
    /** Advances the clock and sends a tick every 100 ms. */
    void advanceTime(Duration time);
    /** Sends an operator's request. @return the answer; nothing while it is pending. */
    std::optional<AdminMessage> publish(const ReleaseNote& note, bool dryRun = false);
    std::optional<AdminMessage> order(const OrderSubject& subject, bool out);
    ConfigurationView view();
    /** @return the answer to the last request; nothing while it is pending. */
    std::optional<AdminMessage> answer() const;
    /** @return the answer to a request, which must have been answered. */
    const AdminMessage& answerTo(AdminRequestId admin) const { return this->answers.at(admin); }
    /** @return the versions sent to the router, in order. */
    const std::vector<std::uint64_t>& routerVersions() const { return this->versions; }
    /** Serves the pending operations unless `holdOperations` is set. */
    void servePendingOperations();

    PlatformFault fault { PlatformFault::None };
    /** Keeps operations pending while true. */
    bool holdOperations { false };
    std::vector<ServiceOrder> routerOrders;
    ConfigurationController controller;

private:
    void apply(const std::vector<ControlAction>& actions);
    PlatformResult serveWithFault(const PlatformRequest& request);

    MemoryPlatform& platform;
    std::vector<PlatformOperation> pendingOperations;
    std::map<AdminRequestId, AdminMessage> answers;
    std::vector<std::uint64_t> versions;
    std::uint64_t lastAdmin { 0 };
    Instant now { Seconds(1000) };
};

/** @return a note that adds a zone to the fleet with version `base`. */
ReleaseNote zoneNote(const std::string& id, std::uint64_t base, const std::string& zone);

}
