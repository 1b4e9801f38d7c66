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
    /** May read and act. */
    Operator,
};

/** A bearer token that the admin port accepts. Only its hash is known here. */
struct OperatorToken {
    std::string name;
    OperatorRole role { OperatorRole::Viewer };
    /** Lower-case hexadecimal SHA-256 of the token. */
    std::string sha256;
};

/** What the probes of an admin port ask. The functions are called from the port's own threads. */
struct ProbeSources {
    /** @return whether the process takes new work. */
    std::function<bool()> isReady;
    /** @return the metrics in the Prometheus text format. */
    std::function<std::string()> renderMetrics;
};

struct AdminServerOptions {
    Address listen;
    std::vector<OperatorToken> tokens;
    /** False lets everybody act as an operator; meant for tests and demonstrations. */
    bool requireTokens { true };
    /** Longest wait for the control duty's answer to an operator. */
    Milliseconds answerTimeout { 10000 };
    std::uint16_t threads { 4 };
};

/** The administration API of an entry, on its own port and with its own threads. */
class AdminServer : public Admins {
public:
    /**
     * @param options address, tokens and limits.
     * @param control ring of the control duty; must outlive the server.
     * @param probes sources of readiness and metrics.
     */
    AdminServer(AdminServerOptions options, Ring<ControlEvent>& control, ProbeSources probes);
    ~AdminServer() override;

    /** Binds the port and serves. @return the reason when the port cannot be bound. */
    std::optional<Failure> start();
    /** Finishes the requests in progress and closes the port. Idempotent. */
    void stop();

    void deliver(AdminRequestId admin, const AdminMessage& message) override;

private:
    class State;
    std::unique_ptr<State> state;
};

/** The probes and metrics of a process without an administration API. */
class AgentAdminServer {
public:
    AgentAdminServer(Address listen, ProbeSources probes);
    ~AgentAdminServer();

    /** Binds the port and serves. @return the reason when the port cannot be bound. */
    std::optional<Failure> start();
    /** Closes the port. Idempotent. */
    void stop();

private:
    class State;
    std::unique_ptr<State> state;
};

}
