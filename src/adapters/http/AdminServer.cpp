#include "adapters/http/AdminServer.h"

#include "adapters/http/AdminListener.h"

#include <map>
#include <mutex>

namespace teaselfold {

namespace {

    constexpr std::uint16_t probeThreads = 2;

}

/** The API, its listener, and the requests that wait for the control duty's answer. */
class AdminServer::State {
public:
    State(const AdminServerOptions& options, Ring<ControlEvent>& control, ProbeCallbacks probes)
        : control(control)
        , answerTimeout(options.answerTimeout)
        , api(options, std::move(probes), [this](const auto& createEvent) { return this->callControl(createEvent); })
        , listener(options.listen, options.threads, [this](const auto& request) { return this->api.serve(request); })
    {
    }

    AdminMessage callControl(const Internal::AdminApi::EventFactory& createEvent)
    {
        const auto answers = std::make_shared<Ring<AdminMessage>>(1);
        const AdminRequestId id = this->addPending(answers);
        if (!this->control.tryPush(createEvent(id))) {
            this->removePending(id);
            return Failure { ErrorCode::NoCapacity, "too many requests of operators wait", Executed::No, Seconds(1) };
        }
        std::optional<AdminMessage> answer = answers->popUntil(std::chrono::steady_clock::now() + this->answerTimeout);
        this->removePending(id);
        if (answer)
            return std::move(*answer);
        return Failure { ErrorCode::DeadlineExceeded, "no answer in time; ask again", Executed::Unknown, Seconds(1) };
    }

    void deliver(AdminRequestId id, const AdminMessage& message)
    {
        std::lock_guard lock(this->mutex);
        const auto found = this->pendingRequests.find(id);
        if (found != this->pendingRequests.end())
            found->second->tryPush(message);
    }

    Internal::AdminListener& httpListener() { return this->listener; }

private:
    AdminRequestId addPending(const std::shared_ptr<Ring<AdminMessage>>& answers)
    {
        std::lock_guard lock(this->mutex);
        const AdminRequestId id(++this->lastId);
        this->pendingRequests.emplace(id, answers);
        return id;
    }

    void removePending(AdminRequestId id)
    {
        std::lock_guard lock(this->mutex);
        this->pendingRequests.erase(id);
    }

    Ring<ControlEvent>& control;
    Milliseconds answerTimeout;
    std::mutex mutex;
    std::uint64_t lastId { 0 };
    std::map<AdminRequestId, std::shared_ptr<Ring<AdminMessage>>> pendingRequests;
    Internal::AdminApi api;
    Internal::AdminListener listener;
};

AdminServer::AdminServer(AdminServerOptions options, Ring<ControlEvent>& control, ProbeCallbacks probes)
    : state(std::make_unique<State>(options, control, std::move(probes)))
{
}

AdminServer::~AdminServer() { this->stop(); }

std::optional<Failure> AdminServer::start() { return this->state->httpListener().start(); }

void AdminServer::stop() { this->state->httpListener().stop(); }

void AdminServer::deliver(AdminRequestId admin, const AdminMessage& message) { this->state->deliver(admin, message); }

/** The probe callbacks and the listener that serves them. */
class ProbeServer::State {
public:
    State(const Address& listen, ProbeCallbacks probes)
        : probes(std::move(probes))
        , listener(listen, probeThreads,
              [this](const auto& request) { return Internal::serveProbes(request, this->probes); })
    {
    }

    Internal::AdminListener& httpListener() { return this->listener; }

private:
    ProbeCallbacks probes;
    Internal::AdminListener listener;
};

ProbeServer::ProbeServer(Address listen, ProbeCallbacks probes)
    : state(std::make_unique<State>(listen, std::move(probes)))
{
}

ProbeServer::~ProbeServer() { this->stop(); }

std::optional<Failure> ProbeServer::start() { return this->state->httpListener().start(); }

void ProbeServer::stop() { this->state->httpListener().stop(); }

}
