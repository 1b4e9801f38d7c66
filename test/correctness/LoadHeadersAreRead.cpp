#include "platform/ConfigurationReader.h"
#include "platform/PlatformTrafficCodec.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

std::optional<ReportedLoad> loadOf(const std::string& text)
{
    const PlatformTrafficCodec codec;
    return codec.readResponse({ 200, "", { { "X-Teaselfold-Instance-Load", text } } }).load;
}

}

// Guards against a report that is dropped whole because it has one figure more than was known.
TEST_CASE("A load report is read with the state of the instance as its fourth figure")
{
    const auto load = loadOf("3,1,8,250");
    REQUIRE(load);
    CHECK(load->running == 3);
    CHECK(load->waiting == 1);
    CHECK(load->slots == 8);
    CHECK(load->slowdown == 2.5);
    CHECK_FALSE(loadOf("3,1,8")->slowdown);
}

TEST_CASE("An odd fourth figure is ignored and the others hold; odd first figures make a report useless")
{
    for (const char* text : { "3,1,8,", "3,1,8,0", "3,1,8,-250", "3,1,8,fast", "3,1,8,99999999999999999999999",
             "3,1,8,1e3", "3,1,8,nan", "3,1,8,10001" }) {
        CAPTURE(text);
        REQUIRE(loadOf(text));
        CHECK(loadOf(text)->running == 3);
        CHECK_FALSE(loadOf(text)->slowdown);
    }
    CHECK(loadOf(" 3, 1, 8, 100, 7")->slowdown == 1);
    for (const char* text :
        { "", ",", "3", "3,1", "3,,8", "-3,1,8", "3,1,x,100", "99999999999999999999,1,8", "3;1;8" }) {
        CAPTURE(text);
        CHECK_FALSE(loadOf(text));
    }
}

TEST_CASE("The longest pause that a streaming route allows is read")
{
    const auto read = PlatformApi::readConfiguration(R"({"version":1,"routes":[
        {"host":"h","prefix":"/a/","routeKind":"streaming","itlTargetMs":180},
        {"host":"h","prefix":"/b/","routeKind":"streaming","itlTargetMs":-5},
        {"host":"h","prefix":"/c/","routeKind":"streaming"}]})");
    REQUIRE(read);
    REQUIRE(read->routes.size() == 3);
    CHECK(read->routes[0].eventIntervalObjective == Milliseconds(180));
    CHECK(read->routes[1].eventIntervalObjective == Milliseconds(0));
    CHECK(read->routes[2].eventIntervalObjective == Milliseconds(0));
}
