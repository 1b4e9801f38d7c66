#pragma once

#include "core/entry/Router.h"

#include <memory>
#include <string>
#include <vector>

namespace teaselfold {

/** A repeatable source of ids: 1, 2, 3. */
class CountingRandomness final : public Randomness {
public:
    std::uint64_t next() override { return ++this->last; }

private:
    std::uint64_t last { 0 };
};

/** A router with a manual clock, a small fleet and the actions it gave. */
class RouterHarness {
public:
    /** Entry in zone-a; endpoints a-1, a-2 in zone-a, b-1 in zone-b (models), p-1, p-2 in zone-a (plain). */
    explicit RouterHarness(std::vector<std::string> models = { "a-1", "a-2", "b-1" });

    void send(const RouterEvent& event);
    void agent(const std::string& endpoint, AgentMessage message);
    void advance(Milliseconds time);
    /** Opens a link and reports room. */
    void connect(const std::string& endpoint, LoadReport report = reportWithCapacity(8), std::uint64_t incarnation = 1);
    RequestId complete(const std::string& prompt, bool stream = false, OnEngineLoss loss = OnEngineLoss::Fail);
    RequestId call(const std::string& method, const std::string& key = "");

    static LoadReport reportWithCapacity(std::uint32_t room);

    /** @return messages of a type sent to agents since the last clear, with their endpoints. */
    template <typename Message> std::vector<std::pair<std::string, Message>> toAgents() const
    {
        std::vector<std::pair<std::string, Message>> found;
        for (const RouterAction& action : this->actions)
            if (const auto* sent = std::get_if<ToAgent>(&action))
                if (const auto* message = std::get_if<Message>(&sent->message))
                    found.emplace_back(sent->endpoint.get(), *message);
        return found;
    }

    /** @return messages of a type to callers since the last clear. */
    template <typename Message> std::vector<Message> toCallers() const
    {
        std::vector<Message> found;
        for (const RouterAction& action : this->actions)
            if (const auto* sent = std::get_if<ToCaller>(&action))
                if (const auto* message = std::get_if<Message>(&sent->message))
                    found.push_back(*message);
        return found;
    }

    /** @return how many actions of a type there were since the last clear. */
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
    CountingRandomness randomness;
    std::unique_ptr<Router> router;
    std::vector<RouterAction> actions;

private:
    std::uint64_t lastRequest { 0 };
};

}
