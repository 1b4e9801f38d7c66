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

TEST_CASE("generations that an earlier process of the agent left running are counted until they end")
{
    InheritedWork work;
    CHECK(work.running() == 0);
    work.observe(reportOf(7, 4), 0);
    CHECK(work.running() == 4);

    SUBCASE("a late report without this process's newest generation does not lower the count")
    {
        work.observe(reportOf(7, 4), 1);
        CHECK(work.running() == 4);
        work.observe(reportOf(7, 5), 1);
        CHECK(work.running() == 4);
    }
    SUBCASE("two reports in a row lower the count, and it never rises")
    {
        work.observe(reportOf(7, 1), 0);
        work.observe(reportOf(7, 1), 0);
        CHECK(work.running() == 1);
        work.observe(reportOf(7, 6), 0);
        CHECK(work.running() == 1);
    }
    SUBCASE("a restarted engine runs none of them")
    {
        work.observe(reportOf(8, 0), 0);
        CHECK(work.running() == 0);
    }
}
