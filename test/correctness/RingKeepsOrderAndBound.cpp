#include "runtime/Ring.h"

#include <doctest/doctest.h>

#include <thread>

using namespace teaselfold;

TEST_CASE("a full ring rejects pushes and keeps the order of its items")
{
    Ring<int> ring(2);
    CHECK(ring.tryPush(1));
    CHECK(ring.tryPush(2));
    CHECK_FALSE(ring.tryPush(3));
    CHECK(ring.tryPop() == 1);
    CHECK(ring.tryPop() == 2);
    CHECK_FALSE(ring.tryPop().has_value());
}

TEST_CASE("a closed ring rejects pushes and still returns its items")
{
    Ring<int> ring(2);
    CHECK(ring.tryPush(1));
    ring.close();
    CHECK_FALSE(ring.tryPush(2));
    CHECK(ring.tryPop() == 1);
    CHECK_FALSE(ring.popUntil(Instant::max()).has_value());
}

TEST_CASE("a push from another thread wakes a blocked consumer")
{
    Ring<int> ring(1);
    std::thread producer([&] { ring.tryPush(7); });
    CHECK(ring.popUntil(Instant::max()) == 7);
    producer.join();
}
