#include "core/agent/FairQueue.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

QueueItem itemOf(std::uint64_t id, PriorityClass priority)
{
    return { GenerationId(id), TeamId("one"), priority, 100 };
}

}

TEST_CASE("a lower class is starved after sixteen items of a higher class and is then served once")
{
    FairQueue queue(100);
    queue.push(itemOf(1000, PriorityClass::Batch), 1);
    queue.push(itemOf(1001, PriorityClass::Batch), 1);
    for (std::uint64_t id = 1; id <= 40; ++id)
        queue.push(itemOf(id, PriorityClass::Interactive), 1);
    for (int count = 0; count < 16; ++count) {
        CHECK_FALSE(queue.nextStarved().has_value());
        CHECK(queue.front()->priority == PriorityClass::Interactive);
        queue.pop();
    }
    const auto starved = queue.nextStarved();
    REQUIRE(starved.has_value());
    CHECK(starved->id == GenerationId(1000));
    CHECK(queue.front()->priority == PriorityClass::Interactive);
    queue.dequeue(*starved);
    CHECK_FALSE(queue.nextStarved().has_value());
    CHECK(queue.size() == 25);
}

TEST_CASE("queued items of one class do not count towards the size of another class")
{
    FairQueue queue(100);
    queue.push(itemOf(1, PriorityClass::Batch), 1);
    queue.push(itemOf(2, PriorityClass::Batch), 1);
    CHECK(queue.teamSize(TeamId("one"), PriorityClass::Batch) == 2);
    CHECK(queue.teamSize(TeamId("one"), PriorityClass::Interactive) == 0);
    CHECK(queue.classSize(PriorityClass::Batch) == 2);
    CHECK(queue.classSize(PriorityClass::Interactive) == 0);
}
