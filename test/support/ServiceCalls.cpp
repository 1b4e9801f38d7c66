#include "support/ServiceCalls.h"

#include "adapters/engine/PlainServiceClient.h"

#include <doctest/doctest.h>

namespace teaselfold {

ServiceEvent callService(const Address& service)
{
    constexpr Seconds answerTimeout(10);
    Ring<ServiceEvent> events(1);
    const auto client = PlainServiceClientBuilder()
                            .withAddress(service)
                            .withWorkers(1)
                            .withSink([&](const ServiceEvent& event) { events.push(event); })
                            .build();
    ServiceForward call;
    call.budget = Seconds(5);
    call.work.method = "POST";
    call.work.path = "/1";
    REQUIRE(client->submit(call));
    const auto event = events.popUntil(std::chrono::steady_clock::now() + answerTimeout);
    client->stop();
    REQUIRE(event);
    return *event;
}

}
