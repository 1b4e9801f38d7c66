#pragma once

#include "core/agent/AdmissionController.h"
#include "core/agent/CallAdmission.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace teaselfold {

/** Returns increasing numbers, so that tokens and delays are the same in each run. */
class CountingRandomness final : public Randomness {
public:
    std::uint64_t next() override { return this->value += 1; }

private:
    std::uint64_t value { 0 };
};

/** Runs one agent with a manual clock, in a fleet with a model service and a plain service. */
class AgentScenario {
public:
    explicit AgentScenario(const std::string& endpoint, const std::string& admission = "conditional")
    {
        if (endpoint == "drafter-1")
            this->agent = std::make_unique<AdmissionController>(
                AdmissionControllerBuilder().withEndpoint(EndpointId(endpoint)).withZone(ZoneId("kgl-a")).build());
        else
            this->agent = std::make_unique<CallAdmission>(CallAdmissionBuilder()
                                                              .withEndpoint(EndpointId(endpoint))
                                                              .withZone(ZoneId("kgl-a"))
                                                              .withRandomness(this->randomness)
                                                              .build());
        this->deliver(EntryLinkUp { entry });
        this->fromEntry(FleetCopy { fleet(admission) });
    }

    static Fleet fleet(const std::string& admission)
    {
        Fleet fleet;
        fleet.version = ReleaseVersion(3);
        Service model { ServiceId("drafters"), ServiceKind::Model, {}, {}, {}, 0 };
        model.targets = Service().targets;
        model.policy.admission = admission;
        fleet.services[model.id] = model;
        fleet.services[ServiceId("registry")].kind = ServiceKind::Plain;
        fleet.endpoints[EndpointId("drafter-1")]
            = { EndpointId("drafter-1"), ZoneId("kgl-a"), model.id, { "127.0.0.1", 1 }, true };
        fleet.endpoints[EndpointId("registry-1")]
            = { EndpointId("registry-1"), ZoneId("kgl-a"), ServiceId("registry"), { "127.0.0.1", 2 }, true };
        return fleet;
    }

    std::vector<AgentAction>& deliver(const AgentEvent& event)
    {
        this->lastActions = this->agent->handle(event, this->now);
        this->actions.insert(this->actions.end(), this->lastActions.begin(), this->lastActions.end());
        return this->lastActions;
    }

    std::vector<AgentAction>& fromEntry(EntryMessage message, const EntryId& from = entry)
    {
        return this->deliver(FromEntry { from, std::move(message) });
    }

    std::vector<AgentAction>& fromEngine(EngineEvent event) { return this->deliver(FromEngine { std::move(event) }); }

    std::vector<AgentAction>& submit(std::uint64_t id, Milliseconds budget = Seconds(60), const char* team = "huye")
    {
        CompletionWork work;
        work.team = TeamId(team);
        work.prompt = "draft";
        return this->fromEntry(SubmitGeneration { GenerationId(id), work, budget });
    }

    std::vector<AgentAction>& tokens(std::uint64_t id, std::uint32_t first, std::uint32_t count)
    {
        EngineTokens event { GenerationId(id), first, {} };
        for (std::uint32_t index = first; index < first + count; ++index)
            event.texts.push_back("t" + std::to_string(index));
        return this->fromEngine(event);
    }

    /** Advances the clock in steps and delivers a tick after each. */
    void advanceTime(Milliseconds time)
    {
        constexpr Milliseconds step { 50 };
        for (Milliseconds elapsed { 0 }; elapsed < time; elapsed += step) {
            this->now += step;
            this->deliver(AgentTick {});
        }
    }

    /** Delivers the platform's reply to the last table operation. */
    std::vector<AgentAction>& reply(PlatformResult result)
    {
        return this->deliver(FromPlatform { { this->lastOperation().operation, std::move(result) } });
    }

    PlatformOperation lastOperation() const
    {
        PlatformOperation found;
        for (const AgentAction& action : this->actions) {
            const auto* platform = std::get_if<ToPlatform>(&action);
            if (platform && !std::holds_alternative<InstanceListRead>(platform->operation.request))
                found = platform->operation;
        }
        return found;
    }

    /** @return all messages of this type that were sent to an entry since the start. */
    template <typename Message> std::vector<Message> sent(const EntryId& to = entry) const
    {
        std::vector<Message> found;
        for (const AgentAction& action : this->actions) {
            const auto* message = std::get_if<ToEntry>(&action);
            if (message && message->entry == to && std::holds_alternative<Message>(message->message))
                found.push_back(std::get<Message>(message->message));
        }
        return found;
    }

    /** @return all commands of this type that were sent to the engine since the start. */
    template <typename Command> std::vector<Command> commands() const
    {
        std::vector<Command> found;
        for (const AgentAction& action : this->actions) {
            const auto* command = std::get_if<ToEngine>(&action);
            if (command && std::holds_alternative<Command>(command->command))
                found.push_back(std::get<Command>(command->command));
        }
        return found;
    }

    /** @return number of actions of this type since the start. */
    template <typename Action> std::size_t count() const
    {
        return static_cast<std::size_t>(std::count_if(this->actions.begin(), this->actions.end(),
            [](const AgentAction& action) { return std::holds_alternative<Action>(action); }));
    }

    static inline const EntryId entry { "entry-1" };
    CountingRandomness randomness;
    Instant now { Seconds(100) };
    std::unique_ptr<AgentDecisions> agent;
    std::vector<AgentAction> lastActions;
    std::vector<AgentAction> actions;
};

}
