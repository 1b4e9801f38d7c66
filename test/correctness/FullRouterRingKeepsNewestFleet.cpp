#include "support/ControlFakes.h"

#include <doctest/doctest.h>

using namespace teaselfold;
using namespace teaselfold::test;

TEST_CASE("a full router ring delays the newest configuration but does not lose it")
{
    CountingRandomness randomness(1);
    const JsonDocumentCodec codec;
    ControlDuty duty(ConfigurationControllerBuilder().withCodec(codec).withRandomness(randomness).build());
    SynchronousPlatform platform;
    platform.ring = &duty.ring();
    Ring<RouterEvent> router(1);
    router.tryPush(RouterTick {});
    QueueingAdmins admins;
    SilentTelemetry telemetry;
    duty.start({ platform, router, admins, telemetry });
    const Instant never = Instant::max();
    std::uint64_t version = 0;
    while (version < 3) {
        const std::string number = std::to_string(version);
        duty.ring().push(PublishNote { AdminRequestId(version), zoneNote("n" + number, version, "z" + number), false });
        const auto answer = admins.answers.popUntil(never);
        if (std::holds_alternative<NoteAccepted>(*answer))
            ++version;
    }
    CHECK(duty.isReady());
    std::uint64_t seen = 0;
    while (seen < 3) {
        const auto event = router.popUntil(never);
        if (const auto* fleet = std::get_if<FleetChanged>(&*event))
            seen = fleet->fleet.version.get();
    }
    CHECK(seen == 3);
    duty.stop();
}
