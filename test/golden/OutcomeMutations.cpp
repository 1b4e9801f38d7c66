#include "support/GoldenFiles.h"
#include "support/Invariants.h"
#include "support/Story.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace teaselfold;
using namespace teaselfold::testing;

namespace {

constexpr const char* zoneOut = "no new work to what is out or leaving";
constexpr const char* notRun = "a refusal saying \"not run\" is true";
constexpr const char* atMostOnce = "a registration runs at most once";
constexpr const char* noRevert = "an accepted release note never reverts";
constexpr const char* inForce = "an accepted release note is in force everywhere within seconds";

/** A mechanism that is switched off in a session, and the promise whose breach must be found. */
struct Mutation {
    const char* name;
    const char* session;
    const char* promise;
    Tampering tampering;
};

void dropOrdersToAgents(EntryMessage& message)
{
    if (auto* delivery = std::get_if<OrdersDelivery>(&message))
        delivery->orders.clear();
}

void dropOrdersToEntries(AgentMessage& message)
{
    if (auto* delivery = std::get_if<OrdersDelivery>(&message))
        delivery->orders.clear();
}

void dropOrdersToRouter(const std::string&, ToRouter& message)
{
    if (auto* changed = std::get_if<OrdersChanged>(&message.event))
        changed->orders.clear();
}

/** The whole way of an order but for the operator's answer. */
Tampering withoutOrders()
{
    Tampering tampering;
    tampering.toAgent = dropOrdersToAgents;
    tampering.toEntry = dropOrdersToEntries;
    tampering.toRouter = dropOrdersToRouter;
    return tampering;
}

Tampering withoutOrdersFromTable()
{
    Tampering tampering = withoutOrders();
    tampering.toRouter = nullptr;
    tampering.fromPlatform = [](const PlatformRequest& request, PlatformResult& result) {
        const auto* scan = std::get_if<TableScan>(&request);
        if (scan != nullptr && scan->prefix.starts_with("order/") && std::holds_alternative<Rows>(result))
            result = Rows {};
    };
    return tampering;
}

Tampering withoutInstanceList()
{
    Tampering tampering;
    tampering.fromPlatform = [](const PlatformRequest&, PlatformResult& result) {
        if (auto* list = std::get_if<InstanceList>(&result))
            list->instances.clear();
    };
    return tampering;
}

Tampering withUnknownSaidAsNotRun()
{
    Tampering tampering;
    tampering.toCaller = [](CallerMessage& message) {
        auto* failure = std::get_if<CallerFailure>(&message);
        if (failure != nullptr && failure->failure.run == Executed::Unknown)
            failure->failure.run = Executed::No;
    };
    return tampering;
}

Tampering withAnswersSaidAsNotRun()
{
    Tampering tampering;
    tampering.toEntry = [](AgentMessage& message) {
        if (const auto* answer = std::get_if<CallAnswered>(&message))
            message = CallFailed { answer->call,
                Failure { ErrorCode::StoreUnavailable, "tampered", Executed::No, Milliseconds(0) } };
    };
    return tampering;
}

bool isClaim(const std::string& key) { return key.starts_with("claim/"); }

Tampering withEveryClaimWon()
{
    Tampering tampering;
    tampering.fromPlatform = [](const PlatformRequest& request, PlatformResult& result) {
        const auto* insert = std::get_if<TableInsert>(&request);
        if (insert != nullptr && isClaim(insert->key) && std::holds_alternative<WriteConflict>(result))
            result = WriteDone { 1 };
    };
    return tampering;
}

Tampering withOldVersionsTaken()
{
    Tampering tampering;
    tampering.toRouter = [](const std::string&, ToRouter& message) {
        auto* changed = std::get_if<FleetChanged>(&message.event);
        if (changed != nullptr && changed->fleet.version == ReleaseVersion(3))
            changed->fleet.version = ReleaseVersion(1);
    };
    return tampering;
}

/** Entry y hears of no note: its router is told the first version again and again. */
Tampering withoutNotesAtOneEntry()
{
    Tampering tampering;
    tampering.toRouter = [](const std::string& entry, ToRouter& message) {
        auto* changed = std::get_if<FleetChanged>(&message.event);
        if (changed != nullptr && entry == "y")
            changed->fleet.version = ReleaseVersion(1);
    };
    return tampering;
}

std::vector<Mutation> mutations()
{
    return {
        { "orders reach nobody", "zone-out-while-store-is-down", zoneOut, withoutOrders() },
        { "orders reach nobody, the answer is lost", "answer-of-an-order-is-lost", zoneOut, withoutOrders() },
        { "orders reach only the entry that took them", "zone-out-through-another-zones-entry", zoneOut,
            withoutOrdersFromTable() },
        { "the instance list is not read", "leaving-instance-listed-late", zoneOut, withoutInstanceList() },
        { "an unknown outcome is said as not run", "connection-lost-right-after-send", notRun,
            withUnknownSaidAsNotRun() },
        { "an unknown outcome is said as not run while the claimer is paused", "agent-paused-while-it-claims", notRun,
            withUnknownSaidAsNotRun() },
        { "a call that ran is said as not run", "finished-registration-is-answered-again", notRun,
            withAnswersSaidAsNotRun() },
        { "a claim's insert always says inserted", "registration-sent-twice-at-once", atMostOnce, withEveryClaimWon() },
        { "a claim's insert always says inserted after a death", "claimer-killed-during-the-call", atMostOnce,
            withEveryClaimWon() },
        { "a lower version is put in force", "two-operators-publish-at-once", noRevert, withOldVersionsTaken() },
        { "one entry gets no notes", "store-down-right-after-acceptance", inForce, withoutNotesAtOneEntry() },
    };
}

bool finds(const std::vector<Breach>& breaches, const std::string& promise)
{
    return std::any_of(
        breaches.begin(), breaches.end(), [&](const Breach& breach) { return breach.promise == promise; });
}

}

TEST_CASE("the checker finds each mechanism of orders, refusals, claims and notes that is switched off")
{
    for (const Mutation& mutation : mutations()) {
        CAPTURE(std::string(mutation.name));
        const Story story = readStory(readGoldenFile(std::string(mutation.session) + ".story"));
        REQUIRE_FALSE(story.steps.empty());
        CHECK(findBreaches(play(story)).empty());
        CHECK(finds(findBreaches(play(story, mutation.tampering)), mutation.promise));
    }
}
