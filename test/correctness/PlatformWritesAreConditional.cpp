#include "emulator/PlatformModel.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

PlatformResult perform(PlatformModel& platform, const PlatformRequest& request, Instant now = Instant {})
{
    const PlatformOutcome outcome = platform.perform(request, now);
    REQUIRE(std::holds_alternative<PlatformResult>(outcome));
    return *std::get_if<PlatformResult>(&outcome);
}

}

TEST_CASE("a second insert of a key fails and returns the existing row")
{
    PlatformModel platform(PlatformSettings {});
    CHECK(perform(platform, TableInsert { "k", "a" }) == PlatformResult(WriteDone { 1 }));
    CHECK(perform(platform, TableInsert { "k", "b" }) == PlatformResult(WriteConflict { TableRecord { "k", "a", 1 } }));
}

TEST_CASE("a replace or erase fails unless it names the current version")
{
    PlatformModel platform(PlatformSettings {});
    perform(platform, TableInsert { "k", "a" });
    CHECK(perform(platform, TableReplace { "k", "b", 1 }) == PlatformResult(WriteDone { 2 }));
    const WriteConflict conflict { TableRecord { "k", "b", 2 } };
    CHECK(perform(platform, TableReplace { "k", "c", 1 }) == PlatformResult(conflict));
    CHECK(perform(platform, TableErase { "k", 1 }) == PlatformResult(conflict));
    CHECK(perform(platform, TableErase { "k", 2 }) == PlatformResult(WriteDone { 0 }));
    CHECK(perform(platform, TableReplace { "k", "c", 2 }) == PlatformResult(WriteConflict {}));
    CHECK(perform(platform, TableRead { "k" }) == PlatformResult(Rows {}));
}

TEST_CASE("a scan returns the rows with a prefix after a key, in key order and up to the limit")
{
    PlatformModel platform(PlatformSettings {});
    for (const char* key : { "b/3", "b/1", "a/1", "b/2", "c/1" })
        perform(platform, TableInsert { key, "v" });
    const auto afterFirst = perform(platform, TableScan { "b/", "b/1", 10 });
    CHECK(afterFirst == PlatformResult(Rows { { { "b/2", "v", 1 }, { "b/3", "v", 1 } } }));
    CHECK(perform(platform, TableScan { "b/", "", 1 }) == PlatformResult(Rows { { { "b/1", "v", 1 } } }));
}

TEST_CASE("the instance list shows a change only after the configured lag")
{
    PlatformModel platform(PlatformSettings {});
    platform.setInstance(InstanceState { "i1", true }, Instant {});
    CHECK(perform(platform, InstanceListRead {}) == PlatformResult(InstanceList {}));
    const InstanceList changed { { { "i1", true } } };
    CHECK(perform(platform, InstanceListRead {}, Instant {} + Seconds(1)) == PlatformResult(changed));
}

TEST_CASE("writes above the rate limit are refused and have no effect")
{
    PlatformSettings settings;
    settings.writesPerSecond = 1;
    PlatformModel platform(settings);
    perform(platform, TableInsert { "a", "v" });
    CHECK(std::holds_alternative<RateLimited>(platform.perform(TableInsert { "b", "v" }, Instant {})));
    CHECK(perform(platform, TableRead { "b" }) == PlatformResult(Rows {}));
    perform(platform, TableInsert { "b", "v" }, Instant {} + Seconds(1));
}
