#include "adapters/http/AdminServer.h"

#include "adapters/http/AdminListener.h"

#include <map>
#include <mutex>

namespace teaselfold {

namespace {

    constexpr std::uint16_t probeThreads = 2;

}

/** The operators' requests that wait for an answer, by id. */
class AdminServer::State {
public:
    State(const AdminServerOptions& options, Ring<ControlEvent>& control, ProbeSources probes)
        : control(control)
        , answerTimeout(options.answerTimeout)
        , api(options, std::move(probes), [this](const auto& makeEvent) { return this->ask(makeEvent); })
        , listener(options.listen, options.threads, [this](const auto& request) { return this->api.serve(request); })
    {
    }

    AdminMessage ask(const Internal::AdminApi::EventMaker& makeEvent)
    {
        const auto answers = std::make_shared<Ring<AdminMessage>>(1);
        const AdminRequestId admin = this->add(answers);
        if (!this->control.tryPush(makeEvent(admin))) {
            this->remove(admin);
            return Failure { ErrorCode::NoCapacity, "too many requests of operators wait", Executed::No, Seconds(1) };
        }
        std::optional<AdminMessage> answer = answers->popUntil(std::chrono::steady_clock::now() + this->answerTimeout);
        this->remove(admin);
        if (answer)
            return std::move(*answer);
        return Failure { ErrorCode::DeadlineExceeded, "no answer in time; ask again", Executed::Unknown, Seconds(1) };
    }

    void deliver(AdminRequestId admin, const AdminMessage& message)
    {
        std::lock_guard lock(this->mutex);
        const auto found = this->waiting.find(admin);
        if (found != this->waiting.end())
            found->second->tryPush(message);
    }

    Internal::AdminListener& port() { return this->listener; }

private:
    AdminRequestId add(const std::shared_ptr<Ring<AdminMessage>>& answers)
    {
        std::lock_guard lock(this->mutex);
        const AdminRequestId admin(++this->lastId);
        this->waiting.emplace(admin, answers);
        return admin;
    }

    void remove(AdminRequestId admin)
    {
        std::lock_guard lock(this->mutex);
        this->waiting.erase(admin);
    }

    Ring<ControlEvent>& control;
    Milliseconds answerTimeout;
    std::mutex mutex;
    std::uint64_t lastId { 0 };
    std::map<AdminRequestId, std::shared_ptr<Ring<AdminMessage>>> waiting;
    Internal::AdminApi api;
    Internal::AdminListener listener;
};

AdminServer::AdminServer(AdminServerOptions options, Ring<ControlEvent>& control, ProbeSources probes)
    : state(std::make_unique<State>(options, control, std::move(probes)))
{
}

AdminServer::~AdminServer() { this->stop(); }

std::optional<Failure> AdminServer::start() { return this->state->port().start(); }

void AdminServer::stop() { this->state->port().stop(); }

void AdminServer::deliver(AdminRequestId admin, const AdminMessage& message) { this->state->deliver(admin, message); }

/** The listener of a process that only answers probes. */
class AgentAdminServer::State {
public:
    State(const Address& listen, ProbeSources probes)
        : probes(std::move(probes))
        , listener(listen, probeThreads,
              [this](const auto& request) { return Internal::serveProbes(request, this->probes); })
    {
    }

    Internal::AdminListener& port() { return this->listener; }

private:
    ProbeSources probes;
    Internal::AdminListener listener;
};

AgentAdminServer::AgentAdminServer(Address listen, ProbeSources probes)
    : state(std::make_unique<State>(listen, std::move(probes)))
{
}

AgentAdminServer::~AgentAdminServer() { this->stop(); }

std::optional<Failure> AgentAdminServer::start() { return this->state->port().start(); }

void AgentAdminServer::stop() { this->state->port().stop(); }

}
