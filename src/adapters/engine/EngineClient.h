#pragma once

#include "adapters/engine/HttpConnection.h"
#include "adapters/engine/OpenCalls.h"
#include "adapters/engine/StreamRegistry.h"
#include "ports/AgentInterfaces.h"
#include "runtime/Ring.h"

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <variant>
#include <vector>

namespace teaselfold {

/**
 * HTTP client for the model engine: a bounded pool of threads that each read one stream, one thread for cancels and
 * orders, and one that polls the engine's load and cache events.
 */
class EngineClient final : public Engine {
public:
    using Sink = std::function<void(const EngineEvent&)>;

    /** The engine's address, the client's limits and the receiver of its events. */
    struct Options {
        Address address;
        /** Limit of a connection attempt, and of the time without data on a stream or response. */
        Milliseconds timeout { 5000 };
        /** Time between two polls of the load. */
        Milliseconds pollInterval { 500 };
        /** Maximum number of streams read concurrently, each on its own thread; further starts are refused. */
        std::size_t maxStreams { 64 };
        Sink sink;
    };

    explicit EngineClient(Options options);
    ~EngineClient() override { this->stop(); }

    bool submit(const EngineCommand& command) override;
    /** Aborts the streams, gives the queued commands a short time and joins all threads. Idempotent. */
    void stop();

private:
    /** A stream to be opened and read by a thread of the pool. */
    struct StreamJob {
        std::variant<EngineStart, EngineResume> command;
        GenerationId generation;
        /** Stream number, returned by StreamRegistry::open. */
        std::uint64_t number { 0 };
    };
    using ControlCommand = std::variant<EngineCancel, EngineOrder>;

    bool submitStart(const EngineStart& command);
    bool submitResume(const EngineResume& command);
    bool submitCancel(const EngineCancel& command);
    bool submitOrder(const EngineOrder& command);
    bool pushStream(StreamJob job);

    void runStreams();
    void runControlCommands();
    void runPolls();
    void readStream(const StreamJob& job);
    void sendRequest(const StreamJob& job, BoundedSession& session) const;
    void receiveResponse(const StreamJob& job, BoundedSession& session);
    void receiveLines(const StreamJob& job, std::istream& stream);
    /** Sends an event to the sink, or drops it if the job's stream was aborted or replaced. */
    void emitIfCurrent(const StreamJob& job, const EngineEvent& event);
    void cancelAtEngineIfAborted(GenerationId generation);
    void executeOrder(const EngineOrder& order);
    void poll();
    /** Sends a request of one kind, which a stop can cancel. */
    Internal::HttpExchangeResult exchange(
        Internal::OpenCalls& calls, const std::string& method, const std::string& path, const std::string& body);

    Options options;
    Internal::StreamRegistry registry;
    Ring<StreamJob> streamJobs;
    Ring<ControlCommand> controlCommands;
    /** Receives no items: its timed pop waits for the next poll and returns early once the ring is closed. */
    Ring<std::monostate> pollTimer;
    Internal::OpenCalls commandCalls;
    Internal::OpenCalls pollCalls;
    std::promise<void> commandsEnd;
    std::future<void> commandsEnded { this->commandsEnd.get_future() };
    std::atomic<std::size_t> openStreams { 0 };
    std::uint64_t cacheSequence { 0 };
    std::vector<std::thread> threads;
};

/** Builds an EngineClient, whose threads start on construction. */
class EngineClientBuilder {
public:
    EngineClientBuilder& withAddress(Address address);
    /** @param timeout limit of a connection attempt, and of the time without data on a stream or response. */
    EngineClientBuilder& withTimeout(Milliseconds timeout);
    /** @param interval time between two polls of the engine's load. */
    EngineClientBuilder& withPollInterval(Milliseconds interval);
    /** @param count maximum number of streams read concurrently; further starts are refused. */
    EngineClientBuilder& withMaxStreams(std::size_t count);
    /** @param sink receives the events on several threads; may block briefly. */
    EngineClientBuilder& withSink(EngineClient::Sink sink);
    std::unique_ptr<EngineClient> build() const;

private:
    EngineClient::Options options;
};

}
