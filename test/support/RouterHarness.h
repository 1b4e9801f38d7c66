#pragma once

#include "core/entry/Router.h"

#include <memory>
#include <string>
#include <vector>

namespace teaselfold {

/** A deterministic source of randomness that returns 1, 2, 3 and so on. */
class SequentialRandomness final : public Randomness {
public:
    std::uint64_t next() override { return ++this->last; }

private:
    std::uint64_t last { 0 };
};

/** Runs a router with a manual clock and a small fleet, and records the actions it returns. */
class RouterHarness {
public:
    /**
     * Builds the router of an entry in zone-a. Its endpoints are p-1 and p-2 of a plain service in zone-a and the given
     * model endpoints, which are in zone-b when their id starts with "b-" and in zone-a otherwise.
     * @param models the ids of the model endpoints.
     */
    explicit RouterHarness(std::vector<std::string> models = { "a-1", "a-2", "b-1" });

    void send(const RouterEvent& event);
    /** Delivers a message from an endpoint's agent. */
    void deliverFromAgent(const std::string& endpoint, AgentMessage message);
    /** Advances the clock in steps of 100 ms, with a tick after each. */
    void advance(Milliseconds time);
    /** Brings the link to an endpoint up and delivers its hello and a load report. */
    void connect(const std::string& endpoint, LoadReport report = reportWithCapacity(8), std::uint64_t incarnation = 1);
    /** Sends a completion request. @return its id. */
    RequestId requestCompletion(const std::string& prompt, bool stream = false, OnEngineLoss loss = OnEngineLoss::Fail);
    /** Sends a call to the plain service. @return its id. */
    RequestId requestCall(const std::string& method, const std::string& key = "");

    static LoadReport reportWithCapacity(std::uint32_t capacity);

    /** @return the messages of a type sent to agents since the last clear, each with its endpoint. */
    template <typename Message> std::vector<std::pair<std::string, Message>> sentToAgents() const
    {
        std::vector<std::pair<std::string, Message>> found;
        for (const RouterAction& action : this->actions)
            if (const auto* sent = std::get_if<ToAgent>(&action))
                if (const auto* message = std::get_if<Message>(&sent->message))
                    found.emplace_back(sent->endpoint.get(), *message);
        return found;
    }

    /** @return the messages of a type sent to callers since the last clear. */
    template <typename Message> std::vector<Message> sentToCallers() const
    {
        std::vector<Message> found;
        for (const RouterAction& action : this->actions)
            if (const auto* sent = std::get_if<ToCaller>(&action))
                if (const auto* message = std::get_if<Message>(&sent->message))
                    found.push_back(*message);
        return found;
    }

    /** @return the number of actions of a type since the last clear. */
    template <typename Action> std::size_t count() const
    {
        std::size_t total = 0;
        for (const RouterAction& action : this->actions)
            total += std::holds_alternative<Action>(action) ? 1 : 0;
        return total;
    }

    void clear() { this->actions.clear(); }

    Fleet fleet;
    Instant now { Seconds(1000) };
    SequentialRandomness randomness;
    std::unique_ptr<Router> router;
    std::vector<RouterAction> actions;

private:
    std::uint64_t lastRequest { 0 };
};

}
