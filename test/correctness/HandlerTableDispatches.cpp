#include "core/common/HandlerTable.h"

#include <doctest/doctest.h>

#include <string>
#include <variant>

using namespace teaselfold;

namespace {

using Event = std::variant<int, std::string>;

class Recorder {
public:
    std::string onNumber(const int& value, bool loud) { return std::to_string(value) + (loud ? "!" : ""); }
    std::string onText(const std::string& value, bool) { return value; }
};

constexpr HandlerTable<Recorder, std::string, Event, bool> table(&Recorder::onNumber, &Recorder::onText);

}

TEST_CASE("a handler table calls the handler of the event's alternative")
{
    Recorder recorder;
    CHECK(table.dispatch(recorder, Event(3), true) == "3!");
    CHECK(table.dispatch(recorder, Event(std::string("three")), false) == "three");
}
