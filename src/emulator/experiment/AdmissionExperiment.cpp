#include "emulator/experiment/AdmissionExperiment.h"

#include "core/agent/AdmissionController.h"
#include "core/common/Check.h"
#include "emulator/EngineModel.h"
#include "emulator/PlatformModel.h"

#include <algorithm>
#include <deque>
#include <set>

namespace teaselfold {

namespace {

    constexpr Milliseconds tickPeriod { 100 };
    constexpr Milliseconds reportPeriod { 200 };
    /** Time between a crash of the engine and its restart. */
    constexpr Seconds engineRestartDelay { 5 };
    const EntryId entryId { "entry-1" };
    const EndpointId endpointId { "drafter-1" };
    const ServiceId serviceId { "fold-drafters" };
    const TeamId sharedTeam { "all" };

    Fleet makeFleet(const ExperimentSettings& settings)
    {
        Fleet fleet;
        fleet.version = ReleaseVersion(1);
        const ZoneId zone("zone-1");
        fleet.zones[zone] = Zone { zone, "region" };
        Service service;
        service.id = serviceId;
        service.policy = settings.policy;
        for (const RequestKind& kind : settings.workload.kinds)
            service.targets[static_cast<std::size_t>(kind.priority)].betweenTokens = kind.betweenTokens;
        fleet.services[serviceId] = service;
        fleet.models[settings.workload.model] = Model { settings.workload.model, serviceId, "1", {} };
        fleet.endpoints[endpointId] = Endpoint { endpointId, zone, serviceId, Address { "127.0.0.1", 1 }, true };
        for (const TeamShare& share : settings.workload.teams)
            fleet.teams[share.team] = Team { share.team, 1, 1000, {} };
        fleet.teams[sharedTeam] = Team { sharedTeam, 1, 1000, {} };
        return fleet;
    }

    /**
     * One run of the experiment: advances a manual clock, acts as the entry, and passes messages between admission,
     * engine and platform.
     */
    class ExperimentRun {
    public:
        explicit ExperimentRun(const ExperimentSettings& settings)
            : settings(settings)
            , arrivals(makeArrivals(settings.workload))
            , engine(settings.engine, Instant {})
            , platform(PlatformSettings {})
            , admission(AdmissionControllerBuilder()
                            .withEndpoint(endpointId)
                            .withZone(ZoneId("zone-1"))
                            .withIncarnation(Incarnation(1))
                            .withLimits(settings.limits)
                            .build())
            , result { LoadRecorder(settings.workload.kinds), 0, 0, {}, 0 }
        {
        }

        ExperimentResult run()
        {
            this->deliver(EntryLinkUp { entryId });
            this->deliver(FromEntry { entryId, EntryHello { entryId } });
            this->deliver(FromEntry { entryId, FleetCopy { makeFleet(this->settings) } });
            while (!this->isFinished()) {
                this->now = this->nextEventTime();
                this->step();
                if (this->now > this->latestEnd())
                    break;
            }
            this->result.recorder.closeOpenAnswers(this->now);
            this->countPreemptions();
            return std::move(this->result);
        }

    private:
        Instant countingStart() const { return Instant {} + this->settings.warmUp; }
        Instant countingEnd() const { return Instant {} + this->settings.workload.length - this->settings.coolDown; }

        bool isFinished() const
        {
            const bool allSent = this->nextArrival >= this->arrivals.size() || this->now >= this->countingEnd();
            return allSent && this->result.recorder.openCount() == 0;
        }

        /** Adds the preemptions since the engine's last start or the end of the warm-up, whichever is later. */
        void countPreemptions()
        {
            this->result.preemptions += this->engine.preemptions() - this->uncountedPreemptions;
            this->uncountedPreemptions = 0;
        }

        Instant latestEnd() const
        {
            Milliseconds longest { 0 };
            for (const RequestKind& kind : this->settings.workload.kinds)
                longest = std::max(longest, kind.budget);
            return Instant {} + this->settings.workload.length + longest + Seconds(10);
        }

        Instant nextEventTime() const
        {
            Instant next = std::min(this->nextTick, this->nextReport);
            if (this->engineRestartAt)
                next = std::min(next, *this->engineRestartAt);
            else
                next = std::min(next, this->engine.nextEventTime());
            if (this->nextArrival < this->arrivals.size())
                next = std::min(next, Instant {} + this->arrivals[this->nextArrival].at);
            return std::max(next, this->now);
        }

        void step()
        {
            if (this->now < this->countingStart())
                this->uncountedPreemptions = this->engine.preemptions();
            this->advanceEngine();
            if (this->nextArrival < this->arrivals.size()
                && Instant {} + this->arrivals[this->nextArrival].at <= this->now)
                this->submitArrival(this->arrivals[this->nextArrival]);
            if (this->nextReport <= this->now)
                this->deliverEngineReport();
            if (this->nextTick <= this->now)
                this->tick();
        }

        void advanceEngine()
        {
            if (this->engineRestartAt && *this->engineRestartAt <= this->now) {
                this->engineRestartAt.reset();
                this->engine.restart(this->now);
            }
            for (EngineEvent& event : this->engine.advance(this->now))
                this->deliver(FromEngine { std::move(event) });
            if (!this->engine.isCrashed() || this->engineRestartAt)
                return;
            ++this->result.engineCrashes;
            this->countPreemptions();
            this->engineRestartAt = this->now + engineRestartDelay;
        }

        void deliverEngineReport()
        {
            this->nextReport = this->now + reportPeriod;
            if (this->engine.isCrashed())
                this->deliver(FromEngine { EngineUnreachable {} });
            else
                this->deliver(FromEngine { this->engine.report(this->now) });
        }

        void tick()
        {
            this->nextTick = this->now + tickPeriod;
            this->deliver(AgentTick {});
        }

        void submitArrival(const Arrival& arrival)
        {
            const RequestKind& kind = this->settings.workload.kinds[arrival.kind];
            const std::uint64_t number = ++this->nextArrival;
            SubmitGeneration submit;
            submit.generation = GenerationId(number);
            submit.budget = kind.budget;
            submit.work.team = this->settings.distinguishesTeams ? arrival.team : sharedTeam;
            submit.work.model = this->settings.workload.model;
            submit.work.prompt = arrival.prompt;
            submit.work.maxTokens = kind.maxTokens;
            submit.work.priority = kind.priority;
            submit.work.fingerprint = Fingerprint(number);
            if (this->now >= this->countingStart() && this->now < this->countingEnd())
                this->result.recorder.recordSend(number, arrival.team, arrival.kind, this->now);
            this->deliver(FromEntry { entryId, std::move(submit) });
        }

        void deliver(AgentEvent event)
        {
            this->events.push_back(std::move(event));
            if (this->delivering)
                return;
            this->delivering = true;
            while (!this->events.empty()) {
                const AgentEvent next = std::move(this->events.front());
                this->events.pop_front();
                for (const AgentAction& action : this->admission.handle(next, this->now))
                    std::visit([this](const auto& one) { this->perform(one); }, action);
            }
            this->delivering = false;
        }

        void perform(const ToEntry& action)
        {
            std::visit([this](const auto& message) { this->receive(message); }, action.message);
        }

        void perform(const ToEngine& action)
        {
            std::visit([this](const auto& command) { this->execute(command); }, action.command);
        }

        void perform(const ToPlatform& action)
        {
            const PlatformOutcome outcome = this->platform.perform(action.operation.request, this->now);
            const auto* done = std::get_if<PlatformResult>(&outcome);
            PlatformReply reply { action.operation.operation, PlatformUnavailable { false } };
            if (done != nullptr)
                reply.result = *done;
            this->deliver(FromPlatform { std::move(reply) });
        }

        template <typename Other> void perform(const Other&) { }

        void execute(const EngineStart& start)
        {
            this->result.started += this->now >= this->countingStart() ? 1 : 0;
            if (auto refused = this->engine.submit(start, this->now))
                this->deliver(FromEngine { std::move(*refused) });
        }

        void execute(const EngineResume& resume)
        {
            for (EngineEvent& event : this->engine.resume(resume))
                this->deliver(FromEngine { std::move(event) });
        }

        void execute(const EngineCancel& cancel) { this->engine.cancel(cancel.generation, this->now); }

        void execute(const EngineOrder& order)
        {
            this->deliver(FromEngine { this->engine.executeOrder(order, this->now) });
        }

        void receive(const GenerationTokens& tokens)
        {
            std::uint32_t index = tokens.firstIndex;
            for (const std::string& text : tokens.texts)
                this->result.recorder.recordToken(tokens.generation.get(), index++, text, this->now);
            this->deliver(FromEntry { entryId, AcknowledgeTokens { tokens.generation, index } });
        }

        void receive(const GenerationFinished& end)
        {
            this->result.recorder.recordEnd(end.generation.get(), AnswerOutcome::Completed, this->now);
        }

        void receive(const GenerationRefused& end)
        {
            this->result.refusals[end.code] += this->result.recorder.isOpen(end.generation.get()) ? 1 : 0;
            this->result.recorder.recordEnd(end.generation.get(), AnswerOutcome::Refused, this->now);
        }

        void receive(const GenerationFailed& end)
        {
            this->result.recorder.recordEnd(end.generation.get(), AnswerOutcome::Failed, this->now);
        }

        template <typename Other> void receive(const Other&) { }

        const ExperimentSettings& settings;
        std::vector<Arrival> arrivals;
        EngineModel engine;
        PlatformModel platform;
        AdmissionController admission;
        ExperimentResult result;
        std::deque<AgentEvent> events;
        bool delivering { false };
        Instant now {};
        Instant nextTick {};
        Instant nextReport {};
        std::optional<Instant> engineRestartAt;
        std::size_t nextArrival { 0 };
        std::uint64_t uncountedPreemptions { 0 };
    };

}

double ExperimentResult::preemptionsPerThousand() const
{
    constexpr double thousand = 1000;
    return this->started == 0 ? 0
                              : thousand * static_cast<double>(this->preemptions) / static_cast<double>(this->started);
}

ExperimentResult runAdmissionExperiment(const ExperimentSettings& settings) { return ExperimentRun(settings).run(); }

}
