#pragma once

#include "emulator/ServiceModel.h"
#include "emulator/host/StandinServer.h"
#include "runtime/Duty.h"

#include <memory>

namespace teaselfold {

/** Serves a plain service: `GET /runs` tells the counts, any other call runs and is answered with its number. */
class ServiceHost {
public:
    /** @param delay how long each call takes. */
    ServiceHost(const Address& listen, Milliseconds delay);
    ~ServiceHost();
    void start();
    void stop();

private:
    /** What the duty answers: the run's number, or the counts. */
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

    void serve(Exchange& exchange);
    void serveCounts(Exchange& exchange);
    void serveCall(Exchange& exchange);
    /** Waits for the call's duration. */
    void work();
    std::optional<Reply> ask(bool countsOnly, const std::string& key);

    Milliseconds delay;
    FaultSwitch faults;
    ModelHandler handler;
    Duty<Call> duty;
    StandinServer server;
};

}
