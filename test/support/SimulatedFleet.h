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

/** Hooks that change messages in transit, used to show that the checks detect a disabled mechanism. */
struct MessageInterceptors {
    std::function<void(EntryMessage&)> toAgent;
    std::function<void(AgentMessage&)> toEntry;
    std::function<void(EngineEvent&)> fromEngine;
    std::function<void(CallerMessage&)> toCaller;
    std::function<void(const PlatformRequest&, PlatformResult&)> fromPlatform;
    /** Messages from the control duty of an entry to its router. */
    std::function<void(const std::string&, ToRouter&)> toRouter;
};

/**
 * A few entries and agents with their production decision objects, on a manual clock, joined by messages with a fixed
 * delay. The members below inject faults and requests. Messages and faults are recorded in the transcript.
 */
class SimulatedFleet {
public:
    explicit SimulatedFleet(std::uint64_t seed);
    SimulatedFleet(const SimulatedFleet&) = delete;
    SimulatedFleet& operator=(const SimulatedFleet&) = delete;

    void setInterceptors(MessageInterceptors newInterceptors) { this->interceptors = std::move(newInterceptors); }
    void runUntil(Milliseconds at) { this->scheduler.runUntil(Scheduler::start + at); }
    const Transcript& transcript() const { return this->recordedTranscript; }

    void startEntry(const std::string& name);
    void startAgent(const std::string& name);
    /** Ends a process without a shutdown; its open connections break. */
    void killProcess(const std::string& name);
    /** Suspends a process; events that reach it are deferred until `resumeProcess`. */
    void pauseProcess(const std::string& name);
    void resumeProcess(const std::string& name);
    /** Requests a planned stop, as SIGTERM does. */
    void stopProcess(const std::string& name);
    void sendLeavingNotice(const std::string& name);

    /** Drops all messages of an open connection while both ends consider it up. New connections work. */
    void silenceLink(const std::string& entry, const std::string& agent);
    /** Breaks a connection; both ends are notified. */
    void cutLink(const std::string& entry, const std::string& agent);
    /** Blocks the open and all new connections between two processes until `unblockLink`. */
    void blockLink(const std::string& entry, const std::string& agent);
    /** Allows new connections again; the blocked connection stays silent. */
    void unblockLink(const std::string& entry, const std::string& agent);

    void killEngine(const std::string& agent);
    void startEngine(const std::string& agent);
    void cutEngineStreams(const std::string& agent);
    void freezeEngine(const std::string& agent);
    void thawEngine(const std::string& agent);
    /** Restarts the engine at once as another incarnation; only its streams break. */
    void restartEngine(const std::string& agent);
    void loseEngineCaches(const std::string& agent);
    /** Suppresses the engine's load reports until `releaseReports`. */
    void holdReports(const std::string& agent);
    void releaseReports(const std::string& agent);
    /** Sets whether the plain service loses the answers of the calls that it runs. */
    void loseServiceAnswers(const std::string& agent, bool lose);
    void setPlatform(FakePlatform::Mode mode);
    void setLeavingInList(const std::string& instance, bool leaving);

    void requestCompletion(const std::string& caller, const std::string& entry, const std::string& prompt, bool stream,
        OnEngineLoss onLoss, Milliseconds budget, const std::string& team);
    /** Resumes the stream of caller `earlier` at an entry, after the last token that `earlier` received. */
    void resumeStream(const std::string& caller, const std::string& earlier, const std::string& entry);
    void callService(const std::string& caller, const std::string& entry, const std::string& path,
        const std::string& key, const std::string& body, Milliseconds budget);
    void disconnectCaller(const std::string& caller);

    void giveOrder(const std::string& operatorName, const std::string& entry, const OrderSubject& subject, bool out);
    void publishNote(const std::string& operatorName, const std::string& entry, const ReleaseNote& note);

    const FakePlatform& platform() const { return this->fakePlatform; }

private:
    struct Process {
        bool alive { false };
        bool paused { false };
        /** Incremented at each start and kill; scheduled tasks of an earlier epoch are dropped. */
        std::uint64_t epoch { 0 };
        std::deque<std::function<void()>> deferredTasks;
    };

    struct EntryNode : Process {
        std::unique_ptr<Router> router;
        std::optional<ConfigurationController> controller;
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
        /** Hash of the content of the request; the same for equal requests. */
        Fingerprint fingerprint;
        ResumeToken token;
        std::uint32_t nextIndex { 0 };
        bool disconnected { false };
        bool ended { false };
    };

    struct Operator {
        std::string name;
    };

    Process& process(const std::string& name);
    /** Runs a task in a process, deferred while the process is paused; drops the task if the process is not alive. */
    void runInProcess(const std::string& name, std::function<void()> task);
    void scheduleInProcess(const std::string& name, Duration delay, std::function<void()> task);
    /**
     * Delivers a message after the link delay if the connection still works then. A paused receiver processes it later,
     * even if the connection has been replaced meanwhile.
     */
    void transmit(
        const std::string& entry, const std::string& agent, const std::string& receiver, std::function<void()> receive);
    /** @return the only caller whose open request at the entry has this fingerprint; empty if none or several. */
    std::string findOriginatingCaller(const std::string& entry, Fingerprint fingerprint) const;
    void recordLine(const std::string& from, const std::string& to, TranscriptLine line);
    void recordFault(const std::string& event, const std::string& subject);

    void deliverToRouter(const std::string& entry, const RouterEvent& event);
    void deliverToController(const std::string& entry, const ControlEvent& event);
    void deliverToAgent(const std::string& agent, const AgentEvent& event);
    void execute(const std::string& entry, const RouterAction& action);
    void execute(const std::string& entry, const ControlAction& action);
    void execute(const std::string& agent, const AgentAction& action);
    void openLink(const std::string& entry, const std::string& agent);
    void closeLinks(const std::string& name, bool notifyPeers);
    void sendToAgent(const std::string& entry, const ToAgent& send);
    void sendToEntry(const std::string& agent, const ToEntry& send);
    void deliverToCaller(RequestId request, const CallerMessage& sent);
    void runCall(const std::string& agent, const ServiceForward& forward);
    void submitToPlatform(const std::string& process, const PlatformOperation& operation,
        std::function<void(const PlatformReply&)> reply);
    void tickEntry(const std::string& entry, std::uint64_t epoch);
    void tickAgent(const std::string& agent, std::uint64_t epoch);
    bool isServiceAgent(const std::string& agent) const;
    CompletionWork completionWork(const std::string& team, const std::string& prompt) const;
    std::string findCaller(RequestId request) const;
    Link& link(const std::string& entry, const std::string& agent) { return this->links[{ entry, agent }]; }

    std::uint64_t seed;
    MessageInterceptors interceptors;
    Scheduler scheduler;
    JsonDocumentCodec codec;
    TranscriptFormatter formatter;
    Transcript recordedTranscript;
    FakePlatform fakePlatform;
    std::map<std::string, EntryNode> entries;
    std::map<std::string, AgentNode> agents;
    std::map<std::pair<std::string, std::string>, Link> links;
    std::map<std::string, Caller> callers;
    std::map<AdminRequestId, std::string> operators;
    std::uint64_t nextConnection { 1 };
    std::uint64_t nextRequest { 1 };
};

}
