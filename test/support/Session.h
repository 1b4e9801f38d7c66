#pragma once

#include "adapters/fleet/JsonDocumentCodec.h"
#include "core/agent/AdmissionController.h"
#include "core/agent/CallAdmission.h"
#include "core/control/ConfigurationController.h"
#include "core/entry/Router.h"
#include "support/FakeEngine.h"
#include "support/FakePlatform.h"
#include "support/Scheduler.h"
#include "support/SeededRandomness.h"
#include "support/Transcript.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace teaselfold::testing {

/** Changes to messages on their way, to show that the checker sees a mechanism that is missing. */
struct Tampering {
    std::function<void(EntryMessage&)> toAgent;
    std::function<void(AgentMessage&)> toEntry;
    std::function<void(EngineEvent&)> fromEngine;
    std::function<void(CallerMessage&)> toCaller;
    std::function<void(const PlatformRequest&, PlatformResult&)> fromPlatform;
    /** What the control duty of an entry tells its router. */
    std::function<void(const std::string&, ToRouter&)> toRouter;
};

/**
 * A few entries and agents, their real decision objects, on a manual clock, joined by messages with a fixed delay.
 * Faults are the members below. Everything said goes into the transcript.
 */
class Session {
public:
    explicit Session(std::uint64_t seed);
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    void setTampering(Tampering changes) { this->tampering = std::move(changes); }
    void runUntil(Milliseconds at) { this->scheduler.runUntil(Scheduler::start + at); }
    const Transcript& transcript() const { return this->record; }

    void startEntry(const std::string& name);
    void startAgent(const std::string& name);
    /** Ends a process without a word. */
    void kill(const std::string& name);
    /** Stops a process from running; what reaches it waits until it goes on. */
    void pause(const std::string& name);
    void resume(const std::string& name);
    /** A planned stop, as by SIGTERM. */
    void stop(const std::string& name);
    void noticeLeaving(const std::string& name);

    /** An open connection goes silent: both ends still think it is up. New connections work. */
    void silence(const std::string& entry, const std::string& agent);
    /** A connection breaks and both ends know. */
    void cut(const std::string& entry, const std::string& agent);
    /** No connection between two processes works or can be opened until `unblock`. */
    void block(const std::string& entry, const std::string& agent);
    void unblock(const std::string& entry, const std::string& agent);

    void killEngine(const std::string& agent);
    void startEngine(const std::string& agent);
    void cutEngine(const std::string& agent);
    void freezeEngine(const std::string& agent);
    void thawEngine(const std::string& agent);
    /** The engine is back at once as another incarnation; only its streams break. */
    void restartEngine(const std::string& agent);
    void turnEngineCold(const std::string& agent);
    /** The engine's load reports stay away until they are released. */
    void holdReports(const std::string& agent);
    void releaseReports(const std::string& agent);
    /** The plain service loses the answers of calls it runs while this is set. */
    void loseServiceAnswers(const std::string& agent, bool lose);
    void setPlatform(FakePlatform::Mode mode);
    void setLeavingInList(const std::string& instance, bool leaving);

    void ask(const std::string& caller, const std::string& entry, const std::string& prompt, bool stream,
        OnEngineLoss onLoss, Milliseconds budget, const std::string& team);
    /** The caller goes on with the stream of `earlier` at another entry, after the last token it got. */
    void askAgain(const std::string& caller, const std::string& earlier, const std::string& entry);
    void call(const std::string& caller, const std::string& entry, const std::string& path, const std::string& key,
        const std::string& body, Milliseconds budget);
    void leave(const std::string& caller);

    void order(const std::string& operatorName, const std::string& entry, const OrderSubject& subject, bool out);
    void publish(const std::string& operatorName, const std::string& entry, const ReleaseNote& note);

    const FakePlatform& platform() const { return this->table; }

private:
    struct Process {
        bool alive { false };
        bool paused { false };
        std::uint64_t life { 0 };
        std::deque<std::function<void()>> waiting;
    };

    struct EntryNode : Process {
        std::unique_ptr<Router> router;
        std::optional<ConfigurationController> keeper;
        std::unique_ptr<SeededRandomness> randomness;
    };

    struct AgentNode : Process {
        std::optional<AdmissionController> admission;
        std::optional<CallAdmission> calls;
        std::unique_ptr<SeededRandomness> randomness;
        std::unique_ptr<FakeEngine> engine;
        Incarnation incarnation;
        bool loseAnswers { false };
        unsigned callsRun { 0 };
        LoadReport lastReport;
    };

    struct Link {
        std::uint64_t connection { 0 };
        bool up { false };
        bool silent { false };
        bool blocked { false };
    };

    struct Caller {
        std::string entry;
        RequestId request;
        /** Of what was asked for; the same for equal requests. */
        Fingerprint fingerprint;
        ResumeToken token;
        std::uint32_t next { 0 };
        bool gone { false };
        bool ended { false };
    };

    struct Operator {
        std::string name;
    };

    Process& process(const std::string& name);
    /** Runs a task in a process now, or when it goes on; drops it when the process has ended since. */
    void inProcess(const std::string& name, std::function<void()> task);
    void later(const std::string& name, Duration delay, std::function<void()> task);
    /** Carries a message over a connection; once it arrived, its receiver reads it even if the connection is replaced.
     */
    void carry(
        const std::string& entry, const std::string& agent, const std::string& receiver, std::function<void()> receive);
    /** @return the one caller whose open request at the entry has this content; empty when none or several. */
    std::string askerOf(const std::string& entry, Fingerprint fingerprint) const;
    void tell(const std::string& from, const std::string& to, Line line);
    void note(const std::string& what, const std::string& subject);

    void toRouter(const std::string& entry, const RouterEvent& event);
    void toKeeper(const std::string& entry, const ControlEvent& event);
    void toAgent(const std::string& agent, const AgentEvent& event);
    void carryOut(const std::string& entry, const RouterAction& action);
    void carryOut(const std::string& entry, const ControlAction& action);
    void carryOut(const std::string& agent, const AgentAction& action);
    void openLink(const std::string& entry, const std::string& agent);
    void dropLinks(const std::string& name, bool tellPeers);
    void sendToAgent(const std::string& entry, const ToAgent& send);
    void sendToEntry(const std::string& agent, const ToEntry& send);
    void deliverToCaller(RequestId request, const CallerMessage& sent);
    void runCall(const std::string& agent, const ServiceForward& forward);
    void submitToPlatform(const std::string& process, const PlatformOperation& operation,
        std::function<void(const PlatformReply&)> reply);
    void tickEntry(const std::string& entry, std::uint64_t life);
    void tickAgent(const std::string& agent, std::uint64_t life);
    bool servesCalls(const std::string& agent) const;
    CompletionWork work(const std::string& team, const std::string& prompt) const;
    std::string callerOf(RequestId request) const;
    Link& link(const std::string& entry, const std::string& agent) { return this->links[{ entry, agent }]; }

    std::uint64_t seed;
    Tampering tampering;
    Scheduler scheduler;
    JsonDocumentCodec codec;
    Describer describer;
    Transcript record;
    FakePlatform table;
    std::map<std::string, EntryNode> entries;
    std::map<std::string, AgentNode> agents;
    std::map<std::pair<std::string, std::string>, Link> links;
    std::map<std::string, Caller> callers;
    std::map<AdminRequestId, std::string> operators;
    std::uint64_t nextConnection { 1 };
    std::uint64_t nextRequest { 1 };
};

}
