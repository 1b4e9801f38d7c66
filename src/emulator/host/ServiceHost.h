#pragma once

#include "emulator/ServiceModel.h"
#include "emulator/host/EmulatorHttpServer.h"
#include "runtime/Duty.h"

#include <memory>

namespace teaselfold {

/** Serves a plain service: `GET /runs` returns the run counts, any other call runs and returns its run number. */
class ServiceHost {
public:
    /** @param delay the duration of each call. */
    ServiceHost(const Address& listen, Milliseconds delay);
    ~ServiceHost();
    void start();
    void stop();

private:
    /** The duty's reply: a run's number, or the total and the runs of each idempotency key. */
    struct Reply {
        std::uint64_t number { 0 };
        std::map<std::string, std::uint64_t> byKey;
    };

    struct Call {
        bool countsOnly { false };
        std::string key;
        std::shared_ptr<Ring<Reply>> reply;
    };

    class ModelHandler : public DutyHandler<Call> {
    public:
        void handle(const Call& call, Instant now) override;
        void tick(Instant) override { }

    private:
        ServiceModel model;
    };

    void serve(HttpExchange& exchange);
    void serveCounts(HttpExchange& exchange);
    void serveCall(HttpExchange& exchange);
    void waitForDelay();
    std::optional<Reply> callModel(bool countsOnly, const std::string& key);

    Milliseconds delay;
    FaultInjector faults;
    ModelHandler handler;
    Duty<Call> duty;
    EmulatorHttpServer server;
};

}
