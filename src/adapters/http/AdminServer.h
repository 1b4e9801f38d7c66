#pragma once

#include "ports/ControlInterfaces.h"
#include "runtime/Ring.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace teaselfold {

enum class OperatorRole : std::uint8_t {
    /** May read. */
    Viewer,
    /** May read, publish notes, issue orders and release requests from quarantine. */
    Operator,
};

/** A bearer token that the admin port accepts, stored as a hash. */
struct OperatorToken {
    std::string name;
    OperatorRole role { OperatorRole::Viewer };
    /** Lower-case hexadecimal SHA-256 of the token. */
    std::string sha256;
};

/** Supplies readiness and metrics to an admin port. The functions are called from the port's own threads. */
struct ProbeCallbacks {
    /** @return true when the process accepts new work. */
    std::function<bool()> isReady;
    /** @return the metrics in the Prometheus text format. */
    std::function<std::string()> renderMetrics;
};

struct AdminServerOptions {
    Address listen;
    std::vector<OperatorToken> tokens;
    /** False grants every request the operator role; meant for tests and demonstrations. */
    bool requireTokens { true };
    /** Maximum time to wait for the control duty's answer. */
    Milliseconds answerTimeout { 10000 };
    std::uint16_t threads { 4 };
};

/** Serves the administration API of an entry on its own port with its own threads. */
class AdminServer : public Admins {
public:
    /**
     * @param options the address, tokens and limits.
     * @param control the ring of the control duty; must outlive the server.
     * @param probes the sources of readiness and metrics.
     */
    AdminServer(AdminServerOptions options, Ring<ControlEvent>& control, ProbeCallbacks probes);
    ~AdminServer() override;

    /** Binds the port and starts serving. @return the failure if the port cannot be bound. */
    std::optional<Failure> start();
    /** Finishes the requests in progress and closes the port. Idempotent. */
    void stop();

    void deliver(AdminRequestId admin, const AdminMessage& message) override;

private:
    class State;
    std::unique_ptr<State> state;
};

/** Serves the probes and metrics of a process without an administration API. */
class ProbeServer {
public:
    ProbeServer(Address listen, ProbeCallbacks probes);
    ~ProbeServer();

    /** Binds the port and starts serving. @return the failure if the port cannot be bound. */
    std::optional<Failure> start();
    /** Finishes the requests in progress and closes the port. Idempotent. */
    void stop();

private:
    class State;
    std::unique_ptr<State> state;
};

}
