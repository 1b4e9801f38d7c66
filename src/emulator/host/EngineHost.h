#pragma once

#include "emulator/EngineModel.h"
#include "emulator/host/StandinServer.h"
#include "runtime/Ring.h"

#include <atomic>
#include <memory>
#include <thread>
#include <unordered_map>
#include <variant>

namespace teaselfold {

/** How the engine's process behaves around its model. */
struct EngineHostSettings {
    Address listen;
    /** The model's time runs this many times faster than the clock. */
    double timeScale { 1 };
    /** Time until a dead engine starts again; zero ends the process instead. */
    Milliseconds reviveAfter { 0 };
};

/**
 * Serves a model engine's HTTP protocol. One thread owns the model; handlers' threads reach it through its ring and
 * get each stream's events in a ring of their own.
 */
class EngineHost {
public:
    EngineHost(EngineHostSettings hostSettings, const EngineSettings& engineSettings);
    ~EngineHost();
    void start();
    void stop();

private:
    using Stream = std::shared_ptr<Ring<EngineEvent>>;

    struct Begin {
        EngineStart start;
        Stream stream;
    };
    struct Attach {
        EngineResume resume;
        Stream stream;
    };
    struct Cancel {
        GenerationId generation;
    };
    struct ReadReport {
        Stream reply;
    };
    struct ReadCacheEvents {
        std::uint64_t after { 0 };
        Stream reply;
    };
    struct IssueOrder {
        EngineOrder order;
        Stream reply;
    };
    struct ChangeFault {
        Fault fault;
    };
    using Command = std::variant<Begin, Attach, Cancel, ReadReport, ReadCacheEvents, IssueOrder, ChangeFault>;

    /** One method and path prefix with the member that serves it. */
    struct Route {
        std::string_view method;
        std::string_view prefix;
        void (EngineHost::*serve)(Exchange&);
    };

    // The model's thread.
    void run();
    void handle(const Begin& command, Instant now);
    void handle(const Attach& command, Instant now);
    void handle(const Cancel& command, Instant now);
    void handle(const ReadReport& command, Instant now);
    void handle(const ReadCacheEvents& command, Instant now);
    void handle(const IssueOrder& command, Instant now);
    void handle(const ChangeFault& command, Instant now);
    void deliver(const std::vector<EngineEvent>& events);
    void deliver(GenerationId generation, const EngineEvent& event);
    void superviseDeath(Instant now);
    Instant modelTime(Instant now) const;
    Instant wakeTime() const;

    // Handlers' threads.
    void serve(Exchange& exchange);
    void serveStart(Exchange& exchange);
    void serveResume(Exchange& exchange);
    void serveCancel(Exchange& exchange);
    void serveReport(Exchange& exchange);
    void serveCacheEvents(Exchange& exchange);
    void serveOrder(Exchange& exchange);
    void serveStream(Exchange& exchange, Ring<EngineEvent>& events);
    bool changeFault(const Fault& fault);

    EngineHostSettings hostSettings;
    EngineModel model;
    FaultSwitch faults;
    Ring<Command> commands;
    std::unordered_map<GenerationId, Stream> streams;
    Instant started;
    /** Clock time that the model did not see because it was frozen. */
    Duration frozenTime { 0 };
    std::optional<Instant> frozenSince;
    std::optional<Instant> diedAt;
    /** Read by handlers, which cut connections while the engine is dead. */
    std::atomic<bool> deadNow { false };
    /** The model's counts as of the last turn of its thread, for reports beyond the engine's own protocol. */
    std::atomic<std::uint64_t> promptReused { 0 };
    std::atomic<std::uint64_t> promptComputed { 0 };
    StandinServer server;
    std::thread thread;
};

}
