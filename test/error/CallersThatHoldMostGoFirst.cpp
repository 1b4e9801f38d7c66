#include "core/gateway/CallerBudget.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace teaselfold;

namespace {

constexpr std::size_t memoryBytes = 1000000;

struct Scenario {
    Instant now { Seconds(100) };
    CallerBudget budget { { memoryBytes, 100, Seconds(10) } };

    void open(std::uint64_t id) { this->budget.opened(ConnectionId(id), this->now); }
    void record(std::uint64_t id, CallerActivity activity, std::size_t held, std::uint64_t received = 0,
        std::uint64_t taken = 0)
    {
        this->budget.record(ConnectionId(id), { activity, held, received, taken }, this->now);
    }
    /** Opens connections that have sent so much and nothing for a while. */
    void openStalled(std::uint64_t from, std::uint64_t to, std::size_t bytes)
    {
        for (std::uint64_t id = from; id <= to; ++id) {
            this->open(id);
            this->record(id, CallerActivity::Sending, bytes, bytes);
        }
        this->now += Seconds(20);
    }
};

bool contains(const std::vector<ConnectionId>& connections, std::uint64_t id)
{
    return std::find(connections.begin(), connections.end(), ConnectionId(id)) != connections.end();
}

}

// Guards against an ordinary upload that is refused because many small stalled ones fill the memory.
TEST_CASE("A caller that sends is kept before callers that hold less but move nothing")
{
    Scenario scenario;
    scenario.openStalled(1, 60, 16000);
    scenario.open(99);
    scenario.record(99, CallerActivity::Sending, 60000, 60000);
    const auto chosen = scenario.budget.shortOfMemory(scenario.now);
    CHECK(!chosen.empty());
    CHECK(chosen.size() < 10);
    CHECK(!contains(chosen, 99));
}

// Guards against a process that runs out of memory by answers that nobody takes.
TEST_CASE("Unread answers go before a request in progress, the largest first")
{
    Scenario scenario;
    scenario.open(1);
    scenario.record(1, CallerActivity::Served, 400000, 400000);
    scenario.open(2);
    scenario.record(2, CallerActivity::Unread, 200000);
    scenario.open(3);
    scenario.record(3, CallerActivity::Unread, 500000);
    scenario.now += Seconds(5);
    CHECK(scenario.budget.shortOfMemory(scenario.now) == std::vector { ConnectionId(3) });
    scenario.budget.closed(ConnectionId(3));
    CHECK(scenario.budget.shortOfMemory(scenario.now).empty());
    CHECK(scenario.budget.heldBytes() == 600000);
}

// Guards against a calm process that closes the connection of its only large request.
TEST_CASE("A single caller is served whatever its request takes")
{
    Scenario scenario;
    scenario.open(1);
    CHECK(scenario.budget.admitsBody(2 * memoryBytes));
    scenario.record(1, CallerActivity::Served, 2 * memoryBytes);
    CHECK(scenario.budget.shortOfMemory(scenario.now).empty());
}

// Guards against bodies that are taken in although requests in progress need the memory.
TEST_CASE("A body is refused at its head when requests in progress leave no room for it")
{
    Scenario scenario;
    scenario.open(1);
    scenario.record(1, CallerActivity::Served, 700000);
    CHECK(scenario.budget.admitsBody(300000));
    CHECK(!scenario.budget.admitsBody(300001));
    scenario.record(1, CallerActivity::Idle, 4000);
    CHECK(scenario.budget.admitsBody(300001));
}

// Guards against idle or trickling connections that leave no connection for a caller that comes later.
TEST_CASE("The connections without progress for longest make room for a new one")
{
    Scenario scenario;
    for (std::uint64_t id = 1; id <= 90; ++id)
        scenario.open(id);
    for (int second = 0; second < 20; ++second) {
        scenario.now += Seconds(1);
        for (std::uint64_t id = 1; id <= 45; ++id)
            scenario.record(id, CallerActivity::Sending, 4000, static_cast<std::uint64_t>(second) + 1);
    }
    for (std::uint64_t id = 91; id <= 96; ++id) {
        scenario.open(id);
        scenario.record(id, CallerActivity::Served, 5000, 300);
    }
    CHECK(scenario.budget.shortOfConnections(4).empty());
    const auto chosen = scenario.budget.shortOfConnections(5);
    CHECK(!chosen.empty());
    CHECK(chosen.size() <= 7);
    CHECK(std::all_of(chosen.begin(), chosen.end(), [](ConnectionId id) { return id.get() > 45 && id.get() <= 90; }));
}

// Guards against a new caller that is sent away together with those that make room for it.
TEST_CASE("The newest connection is chosen only if all others have requests in progress")
{
    Scenario scenario;
    for (std::uint64_t id = 1; id <= 99; ++id) {
        scenario.open(id);
        scenario.record(id, CallerActivity::Served, 5000, 300);
    }
    scenario.now += Seconds(1);
    scenario.open(200);
    scenario.open(201);
    CHECK(scenario.budget.shortOfConnections(0) == std::vector { ConnectionId(200) });
    scenario.budget.closed(ConnectionId(200));
    CHECK(scenario.budget.shortOfConnections(1) == std::vector { ConnectionId(201) });
}

// Guards against callers that keep an answer, and its memory, by reading nothing.
TEST_CASE("A caller that takes nothing for the limit is overdue, one that takes a little is not")
{
    Scenario scenario;
    scenario.open(1);
    scenario.open(2);
    scenario.record(1, CallerActivity::Unread, 50000);
    scenario.record(2, CallerActivity::Unread, 50000);
    std::vector<ConnectionId> overdue;
    for (std::uint64_t second = 1; second <= 11; ++second) {
        scenario.now += Seconds(1);
        scenario.record(2, CallerActivity::Unread, 50000, 0, second);
        overdue = scenario.budget.overdue(scenario.now);
        CHECK(overdue.empty() == (second <= 10));
    }
    CHECK(overdue == std::vector { ConnectionId(1) });
}

// Guards against callers that are closed because this process did not run, so that they could take nothing.
TEST_CASE("The time of a suspension does not count as unread")
{
    Scenario scenario;
    scenario.open(1);
    scenario.record(1, CallerActivity::Unread, 50000);
    CHECK(scenario.budget.overdue(scenario.now).empty());
    scenario.now += Seconds(60);
    CHECK(scenario.budget.overdue(scenario.now).empty());
    for (int second = 0; second < 9; ++second) {
        scenario.now += Seconds(1);
        CHECK(scenario.budget.overdue(scenario.now).empty());
    }
}
