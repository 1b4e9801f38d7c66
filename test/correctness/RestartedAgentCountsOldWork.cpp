#include "core/agent/InheritedWork.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

EngineReport reportOf(std::uint64_t incarnation, std::uint32_t running)
{
    EngineReport report;
    report.incarnation = incarnation;
    report.running = running;
    return report;
}

}

TEST_CASE("what an earlier life of the agent left running is counted until it ends")
{
    InheritedWork work;
    CHECK(work.running() == 0);
    work.observe(reportOf(7, 4), 0);
    CHECK(work.running() == 4);

    SUBCASE("a late report without this life's newest work does not lower it")
    {
        work.observe(reportOf(7, 4), 1);
        CHECK(work.running() == 4);
        work.observe(reportOf(7, 5), 1);
        CHECK(work.running() == 4);
    }
    SUBCASE("two reports in a row lower it, and it never rises")
    {
        work.observe(reportOf(7, 1), 0);
        work.observe(reportOf(7, 1), 0);
        CHECK(work.running() == 1);
        work.observe(reportOf(7, 6), 0);
        CHECK(work.running() == 1);
    }
    SUBCASE("a new life of the engine runs none of it")
    {
        work.observe(reportOf(8, 0), 0);
        CHECK(work.running() == 0);
    }
}
