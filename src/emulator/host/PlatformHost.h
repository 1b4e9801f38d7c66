#pragma once

#include "emulator/PlatformModel.h"
#include "emulator/host/EmulatorHttpServer.h"
#include "runtime/Duty.h"

#include <memory>
#include <variant>

namespace teaselfold {

/** Serves the platform's HTTP protocol. HTTP threads post operations to one duty, which owns the model. */
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

    /** Maps a path prefix to the member that serves it. */
    struct Route {
        std::string_view prefix;
        void (PlatformHost::*serve)(HttpExchange&);
    };

    void serve(HttpExchange& exchange);
    void serveTable(HttpExchange& exchange);
    void serveObject(HttpExchange& exchange);
    void serveInstances(HttpExchange& exchange);
    void respond(HttpExchange& exchange, const std::variant<PlatformRequest, InstanceState>& request);

    FaultInjector faults;
    ModelHandler handler;
    Duty<Call> duty;
    EmulatorHttpServer server;
};

}
