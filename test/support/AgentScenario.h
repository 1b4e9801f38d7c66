#pragma once

#include "core/agent/Admission.h"
#include "core/agent/CallKeeper.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace teaselfold {

/** Counts up, so that tokens and waits are the same in each run. */
class CountingRandomness final : public Randomness {
public:
    std::uint64_t next() override { return this->value += 1; }

private:
    std::uint64_t value { 0 };
};

/** One agent under a manual clock, in a fleet with a model service and a plain one. */
class AgentScenario {
public:
    explicit AgentScenario(const std::string& endpoint, const std::string& admission = "conditional")
    {
        if (endpoint == "drafter-1")
            this->agent = std::make_unique<Admission>(
                AdmissionBuilder().withEndpoint(EndpointId(endpoint)).withZone(ZoneId("kgl-a")).build());
        else
            this->agent = std::make_unique<CallKeeper>(CallKeeperBuilder()
                                                           .withEndpoint(EndpointId(endpoint))
                                                           .withZone(ZoneId("kgl-a"))
                                                           .withRandomness(this->randomness)
                                                           .build());
        this->give(EntryLinkUp { entry });
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

    std::vector<AgentAction>& give(const AgentEvent& event)
    {
        this->last = this->agent->handle(event, this->now);
        this->all.insert(this->all.end(), this->last.begin(), this->last.end());
        return this->last;
    }

    std::vector<AgentAction>& fromEntry(EntryMessage message, const EntryId& from = entry)
    {
        return this->give(FromEntry { from, std::move(message) });
    }

    std::vector<AgentAction>& fromEngine(EngineEvent event) { return this->give(FromEngine { std::move(event) }); }

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

    /** Lets time pass in steps of a tick. */
    void pass(Milliseconds time)
    {
        constexpr Milliseconds step { 50 };
        for (Milliseconds done { 0 }; done < time; done += step) {
            this->now += step;
            this->give(AgentTick {});
        }
    }

    /** Answers the last operation on the table. */
    std::vector<AgentAction>& reply(PlatformResult result)
    {
        return this->give(FromPlatform { { this->lastOperation().operation, std::move(result) } });
    }

    PlatformOperation lastOperation() const
    {
        PlatformOperation found;
        for (const AgentAction& action : this->all) {
            const auto* platform = std::get_if<ToPlatform>(&action);
            if (platform && !std::holds_alternative<InstanceListRead>(platform->operation.request))
                found = platform->operation;
        }
        return found;
    }

    /** @return all messages of a kind that were sent to an entry since the beginning. */
    template <typename Message> std::vector<Message> sent(const EntryId& to = entry) const
    {
        std::vector<Message> found;
        for (const AgentAction& action : this->all) {
            const auto* message = std::get_if<ToEntry>(&action);
            if (message && message->entry == to && std::holds_alternative<Message>(message->message))
                found.push_back(std::get<Message>(message->message));
        }
        return found;
    }

    /** @return all commands of a kind given to the engine since the beginning. */
    template <typename Command> std::vector<Command> commands() const
    {
        std::vector<Command> found;
        for (const AgentAction& action : this->all) {
            const auto* command = std::get_if<ToEngine>(&action);
            if (command && std::holds_alternative<Command>(command->command))
                found.push_back(std::get<Command>(command->command));
        }
        return found;
    }

    /** @return how many actions of a kind there were since the beginning. */
    template <typename Action> std::size_t count() const
    {
        return static_cast<std::size_t>(std::count_if(this->all.begin(), this->all.end(),
            [](const AgentAction& action) { return std::holds_alternative<Action>(action); }));
    }

    static inline const EntryId entry { "entry-1" };
    CountingRandomness randomness;
    Instant now { Seconds(100) };
    std::unique_ptr<AgentDecisions> agent;
    std::vector<AgentAction> last;
    std::vector<AgentAction> all;
};

}
