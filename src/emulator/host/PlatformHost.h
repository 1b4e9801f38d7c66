#pragma once

#include "emulator/PlatformModel.h"
#include "emulator/host/StandinServer.h"
#include "runtime/Duty.h"

#include <memory>
#include <variant>

namespace teaselfold {

/** Serves the platform's HTTP protocol: handlers' threads post operations to one duty that owns the model. */
class PlatformHost {
public:
    PlatformHost(const Address& listen, PlatformSettings settings);
    ~PlatformHost();
    void start();
    void stop();

private:
    struct Call {
        std::variant<PlatformRequest, InstanceState> request;
        std::shared_ptr<Ring<PlatformOutcome>> reply;
    };

    class ModelHandler : public DutyHandler<Call> {
    public:
        explicit ModelHandler(PlatformSettings settings)
            : model(settings)
        {
        }
        void handle(const Call& call, Instant now) override;
        void tick(Instant) override { }

    private:
        PlatformModel model;
    };

    /** One path prefix and the member that serves it. */
    struct Route {
        std::string_view prefix;
        void (PlatformHost::*serve)(Exchange&);
    };

    void serve(Exchange& exchange);
    void serveTable(Exchange& exchange);
    void serveObject(Exchange& exchange);
    void serveInstances(Exchange& exchange);
    void answer(Exchange& exchange, const std::variant<PlatformRequest, InstanceState>& request);

    FaultSwitch faults;
    ModelHandler handler;
    Duty<Call> duty;
    StandinServer server;
};

}
