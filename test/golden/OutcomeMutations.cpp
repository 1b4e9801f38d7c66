#include "support/GoldenFiles.h"
#include "support/Invariants.h"
#include "support/Story.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace teaselfold;
using namespace teaselfold::testing;

namespace {

constexpr const char* noWorkToWithdrawnSubject = "no new work to an endpoint or zone that is out or leaving";
constexpr const char* refusalsAreTrue = "nothing refused as \"not run\" runs";
constexpr const char* atMostOnce = "a registration runs at most once";
constexpr const char* versionsNeverDecrease = "the version in force never decreases";
constexpr const char* noteInForceEverywhere = "an accepted release note is in force everywhere within seconds";

/** A mechanism that is disabled in a story, and the invariant whose violation must be found. */
struct Mutation {
    const char* name;
    const char* story;
    const char* invariant;
    MessageInterceptors interceptors;
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

/** Drops an order on all paths to agents, entries and routers; the operator still gets the answer. */
MessageInterceptors dropOrders()
{
    MessageInterceptors interceptors;
    interceptors.toAgent = dropOrdersToAgents;
    interceptors.toEntry = dropOrdersToEntries;
    interceptors.toRouter = dropOrdersToRouter;
    return interceptors;
}

MessageInterceptors dropOrdersAndTableScans()
{
    MessageInterceptors interceptors = dropOrders();
    interceptors.toRouter = nullptr;
    interceptors.fromPlatform = [](const PlatformRequest& request, PlatformResult& result) {
        const auto* scan = std::get_if<TableScan>(&request);
        if (scan != nullptr && scan->prefix.starts_with("order/") && std::holds_alternative<Rows>(result))
            result = Rows {};
    };
    return interceptors;
}

MessageInterceptors clearInstanceList()
{
    MessageInterceptors interceptors;
    interceptors.fromPlatform = [](const PlatformRequest&, PlatformResult& result) {
        if (auto* list = std::get_if<InstanceList>(&result))
            list->instances.clear();
    };
    return interceptors;
}

MessageInterceptors reportUnknownAsNotRun()
{
    MessageInterceptors interceptors;
    interceptors.toCaller = [](CallerMessage& message) {
        auto* failure = std::get_if<CallerFailure>(&message);
        if (failure != nullptr && failure->failure.run == Executed::Unknown)
            failure->failure.run = Executed::No;
    };
    return interceptors;
}

MessageInterceptors reportAnswersAsNotRun()
{
    MessageInterceptors interceptors;
    interceptors.toEntry = [](AgentMessage& message) {
        if (const auto* answer = std::get_if<CallAnswered>(&message))
            message = CallFailed { answer->call,
                Failure { ErrorCode::StoreUnavailable, "tampered", Executed::No, Milliseconds(0) } };
    };
    return interceptors;
}

bool isClaimKey(const std::string& key) { return key.starts_with("claim/"); }

MessageInterceptors reportClaimsAsInserted()
{
    MessageInterceptors interceptors;
    interceptors.fromPlatform = [](const PlatformRequest& request, PlatformResult& result) {
        const auto* insert = std::get_if<TableInsert>(&request);
        if (insert != nullptr && isClaimKey(insert->key) && std::holds_alternative<WriteConflict>(result))
            result = WriteDone { 1 };
    };
    return interceptors;
}

MessageInterceptors deliverOldVersion()
{
    MessageInterceptors interceptors;
    interceptors.toRouter = [](const std::string&, ToRouter& message) {
        auto* changed = std::get_if<FleetChanged>(&message.event);
        if (changed != nullptr && changed->fleet.version == ReleaseVersion(3))
            changed->fleet.version = ReleaseVersion(1);
    };
    return interceptors;
}

/** Entry y gets no new release note: each change delivered to its router carries version 1. */
MessageInterceptors withholdNotesFromOneEntry()
{
    MessageInterceptors interceptors;
    interceptors.toRouter = [](const std::string& entry, ToRouter& message) {
        auto* changed = std::get_if<FleetChanged>(&message.event);
        if (changed != nullptr && entry == "y")
            changed->fleet.version = ReleaseVersion(1);
    };
    return interceptors;
}

std::vector<Mutation> mutations()
{
    return {
        { "orders reach no router or agent", "zone-out-while-store-is-down", noWorkToWithdrawnSubject, dropOrders() },
        { "orders reach no router or agent and the answer of the store is lost", "answer-of-an-order-is-lost",
            noWorkToWithdrawnSubject, dropOrders() },
        { "orders reach only the entry that accepted them", "zone-out-through-another-zones-entry",
            noWorkToWithdrawnSubject, dropOrdersAndTableScans() },
        { "the instance list is not read", "leaving-instance-listed-late", noWorkToWithdrawnSubject,
            clearInstanceList() },
        { "an unknown outcome is reported as not run", "connection-lost-right-after-send", refusalsAreTrue,
            reportUnknownAsNotRun() },
        { "an unknown outcome is reported as not run while the claiming agent is paused",
            "agent-paused-while-it-claims", refusalsAreTrue, reportUnknownAsNotRun() },
        { "a call that ran is reported as not run", "finished-registration-is-answered-again", refusalsAreTrue,
            reportAnswersAsNotRun() },
        { "the insert of a claim always reports success", "registration-sent-twice-at-once", atMostOnce,
            reportClaimsAsInserted() },
        { "the insert of a claim always reports success after the claiming agent died",
            "claiming-agent-killed-during-the-call", atMostOnce, reportClaimsAsInserted() },
        { "a lower version is put in force", "two-operators-publish-at-once", versionsNeverDecrease,
            deliverOldVersion() },
        { "one entry gets no notes", "store-down-right-after-acceptance", noteInForceEverywhere,
            withholdNotesFromOneEntry() },
    };
}

bool contains(const std::vector<Violation>& violations, const std::string& invariant)
{
    return std::any_of(violations.begin(), violations.end(),
        [&](const Violation& violation) { return violation.invariant == invariant; });
}

}

TEST_CASE("the checks detect each disabled mechanism of orders, refusals, claims and release notes")
{
    for (const Mutation& mutation : mutations()) {
        CAPTURE(std::string(mutation.name));
        const Story story = parseStory(readGoldenFile(std::string(mutation.story) + ".story"));
        REQUIRE_FALSE(story.steps.empty());
        CHECK(findViolations(runStory(story)).empty());
        CHECK(contains(findViolations(runStory(story, mutation.interceptors)), mutation.invariant));
    }
}
