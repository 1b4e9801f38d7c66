#include "runtime/Ring.h"

#include <doctest/doctest.h>

#include <thread>

using namespace teaselfold;

TEST_CASE("a full ring refuses and keeps the order of what it took")
{
    Ring<int> ring(2);
    CHECK(ring.tryPush(1));
    CHECK(ring.tryPush(2));
    CHECK_FALSE(ring.tryPush(3));
    CHECK(ring.tryPop() == 1);
    CHECK(ring.tryPop() == 2);
    CHECK_FALSE(ring.tryPop().has_value());
}

TEST_CASE("a closed ring refuses pushes and hands out what it holds")
{
    Ring<int> ring(2);
    CHECK(ring.tryPush(1));
    ring.close();
    CHECK_FALSE(ring.tryPush(2));
    CHECK(ring.tryPop() == 1);
    CHECK_FALSE(ring.popUntil(Instant::max()).has_value());
}

TEST_CASE("a consumer that waits is woken by a push from another thread")
{
    Ring<int> ring(1);
    std::thread producer([&] { ring.tryPush(7); });
    CHECK(ring.popUntil(Instant::max()) == 7);
    producer.join();
}
