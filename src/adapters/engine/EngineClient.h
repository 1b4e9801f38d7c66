#pragma once

#include "adapters/engine/StreamRegistry.h"
#include "ports/AgentInterfaces.h"
#include "runtime/Ring.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <variant>
#include <vector>

namespace teaselfold {

/**
 * The model engine over HTTP: a bounded pool of threads that each read one stream, one thread for cancels and orders,
 * and one that reads the engine's load and cache events.
 */
class EngineClient final : public Engine {
public:
    using Sink = std::function<void(const EngineEvent&)>;

    /** What the client is built from. */
    struct Parts {
        Address address;
        /** Longest silence of a stream or an answer. */
        Milliseconds timeout { 5000 };
        /** Time between two readings of the load. */
        Milliseconds pollInterval { 500 };
        std::size_t streams { 64 };
        Sink sink;
    };

    explicit EngineClient(Parts parts);
    ~EngineClient() override { this->stop(); }

    bool submit(const EngineCommand& command) override;
    /** Cuts the streams off and joins all threads. Idempotent. */
    void stop();

private:
    /** A stream that a thread of the pool opens and reads. */
    struct StreamJob {
        std::variant<EngineStart, EngineResume> command;
        GenerationId generation;
        std::uint64_t number { 0 };
    };
    using Errand = std::variant<EngineCancel, EngineOrder>;

    bool submitStart(const EngineStart& command);
    bool submitResume(const EngineResume& command);
    bool submitCancel(const EngineCancel& command);
    bool submitOrder(const EngineOrder& command);
    bool pushStream(StreamJob job);

    void runStreams();
    void runErrands();
    void runPolls();
    void readStream(const StreamJob& job);
    void request(const StreamJob& job, Poco::Net::HTTPClientSession& session) const;
    void receive(const StreamJob& job, Poco::Net::HTTPClientSession& session);
    void receiveLines(const StreamJob& job, std::istream& stream);
    void emit(const StreamJob& job, const EngineEvent& event);
    void cancelAtEngineIfCut(GenerationId generation);
    void carryOut(const EngineOrder& order);
    void poll();

    Parts parts;
    Internal::StreamRegistry registry;
    Ring<StreamJob> streamJobs;
    Ring<Errand> errands;
    Ring<std::monostate> pollTimer;
    std::atomic<std::size_t> openStreams { 0 };
    std::uint64_t cacheSequence { 0 };
    std::vector<std::thread> threads;
};

/** Builds an EngineClient, which runs at once. */
class EngineClientBuilder {
public:
    EngineClientBuilder& withAddress(Address address);
    /** @param timeout longest silence of a stream or an answer. */
    EngineClientBuilder& withTimeout(Milliseconds timeout);
    /** @param interval between two readings of the engine's load. */
    EngineClientBuilder& withPollInterval(Milliseconds interval);
    /** @param count streams read at once; a start beyond them is refused. */
    EngineClientBuilder& withStreams(std::size_t count);
    /** @param sink takes the events, from several threads; may block for a while. */
    EngineClientBuilder& withSink(EngineClient::Sink sink);
    std::unique_ptr<EngineClient> build() const;

private:
    EngineClient::Parts parts;
};

}
