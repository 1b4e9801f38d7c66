#pragma once

#include "adapters/fleet/JsonDocumentCodec.h"
#include "core/control/ConfigurationKeeper.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace teaselfold::test {

/** Counts up from a seed. */
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

/** The platform's table and object store in memory. */
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

/** What happens to requests to the platform. */
enum class Weather {
    Answers,
    /** Takes effect, but the answer is lost. */
    LosesAnswers,
    /** Nothing is sent. */
    Down,
};

/** One entry's keeper with a manual clock, driven against a table that other scripts may share. */
class ControlScript {
public:
    ControlScript(const std::string& entry, MemoryPlatform& platform, std::uint64_t seed = 0);

    /** Sends an event and serves the platform operations that follow from it. */
    void send(const ControlEvent& event);
    /** Lets time pass and ticks. */
    void pass(Duration time);
    /** Sends an operator's request. @return the answer, or nothing yet. */
    std::optional<AdminMessage> publish(const ReleaseNote& note, bool dryRun = false);
    std::optional<AdminMessage> order(const OrderSubject& subject, bool out);
    ConfigurationView view();
    /** @return the answer to the last request, or nothing yet. */
    std::optional<AdminMessage> answer() const;
    /** @return the answer to a request; there must be one. */
    const AdminMessage& answerTo(AdminRequestId admin) const { return this->answers.at(admin); }
    /** @return the versions handed to the router, in order. */
    const std::vector<std::uint64_t>& versionsInForce() const { return this->versions; }
    /** Serves what was held back while `hold` was set. */
    void release();

    Weather weather { Weather::Answers };
    /** Keeps requests to the platform back. */
    bool hold { false };
    std::vector<ServiceOrder> routerOrders;
    ConfigurationKeeper keeper;

private:
    void take(const std::vector<ControlAction>& actions);
    PlatformResult reach(const PlatformRequest& request);

    MemoryPlatform& platform;
    std::vector<PlatformOperation> waiting;
    std::map<AdminRequestId, AdminMessage> answers;
    std::vector<std::uint64_t> versions;
    std::uint64_t lastAdmin { 0 };
    Instant now { Seconds(1000) };
};

/** @return a note that adds a zone to the fleet of a version. */
ReleaseNote zoneNote(const std::string& id, std::uint64_t base, const std::string& zone);

}
