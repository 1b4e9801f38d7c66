#pragma once

#include "emulator/EngineModel.h"
#include "emulator/host/EmulatorHttpServer.h"
#include "runtime/Ring.h"

#include <atomic>
#include <memory>
#include <thread>
#include <unordered_map>
#include <variant>

namespace teaselfold {

/** Settings of the process that hosts an EngineModel. */
struct EngineHostSettings {
    Address listen;
    /** Factor by which model time runs faster than real time. */
    double timeScale { 1 };
    /** Time until a crashed engine restarts; with zero the process exits instead. */
    Milliseconds restartDelay { 0 };
};

/**
 * Serves a model engine's HTTP protocol. One thread owns the model. HTTP threads send it commands through a ring and
 * receive the events of each stream, or the reply to a command, through a ring per request.
 */
class EngineHost {
public:
    EngineHost(EngineHostSettings hostSettings, const EngineSettings& engineSettings);
    ~EngineHost();
    void start();
    void stop();

private:
    using EventRing = std::shared_ptr<Ring<EngineEvent>>;

    struct StartCommand {
        EngineStart start;
        EventRing stream;
    };
    struct ResumeCommand {
        EngineResume resume;
        EventRing stream;
    };
    struct CancelCommand {
        GenerationId generation;
    };
    struct ReportCommand {
        EventRing reply;
    };
    struct CacheEventsCommand {
        std::uint64_t after { 0 };
        EventRing reply;
    };
    struct OrderCommand {
        EngineOrder order;
        EventRing reply;
    };
    struct FaultCommand {
        Fault fault;
    };
    using Command = std::variant<StartCommand, ResumeCommand, CancelCommand, ReportCommand, CacheEventsCommand,
        OrderCommand, FaultCommand>;

    /** Maps a method and path prefix to the member that serves it. */
    struct Route {
        std::string_view method;
        std::string_view prefix;
        void (EngineHost::*serve)(HttpExchange&);
    };

    // Called on the model's thread only.
    void runModel();
    void handle(const StartCommand& command, Instant now);
    void handle(const ResumeCommand& command, Instant now);
    void handle(const CancelCommand& command, Instant now);
    void handle(const ReportCommand& command, Instant now);
    void handle(const CacheEventsCommand& command, Instant now);
    void handle(const OrderCommand& command, Instant now);
    void handle(const FaultCommand& command, Instant now);
    void deliver(const std::vector<EngineEvent>& events);
    void deliver(GenerationId generation, const EngineEvent& event);
    void handleCrash(Instant now);
    Instant modelTime(Instant now) const;
    Instant wakeTime() const;

    // Called on the HTTP threads.
    void serve(HttpExchange& exchange);
    void serveStart(HttpExchange& exchange);
    void serveResume(HttpExchange& exchange);
    void serveCancel(HttpExchange& exchange);
    void serveReport(HttpExchange& exchange);
    void serveCacheEvents(HttpExchange& exchange);
    void serveOrder(HttpExchange& exchange);
    void serveStream(HttpExchange& exchange, Ring<EngineEvent>& events);
    bool changeFault(const Fault& fault);

    EngineHostSettings hostSettings;
    EngineModel model;
    FaultInjector faults;
    Ring<Command> commands;
    std::unordered_map<GenerationId, EventRing> streams;
    Instant startTime;
    /** Total real time during which the model was frozen. */
    Duration frozenDuration { 0 };
    std::optional<Instant> frozenSince;
    std::optional<Instant> crashedAt;
    /** Read by the HTTP threads, which drop connections while the engine is down after a crash. */
    std::atomic<bool> crashed { false };
    /** Copies of the model's counters, updated by its thread and returned by `GET /load` in emulator-only fields. */
    std::atomic<std::uint64_t> promptTokensReused { 0 };
    std::atomic<std::uint64_t> promptTokensComputed { 0 };
    EmulatorHttpServer server;
    std::thread modelThread;
};

}
