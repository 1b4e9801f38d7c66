#include "adapters/net/BodyDecoder.h"
#include "adapters/traffic/EventStreamFilter.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teaselfold;

TEST_CASE("A chunked body decodes to the same content however its bytes are split")
{
    CHECK(rc::check([] {
        const std::string wire = "4\r\nabcd\r\n10;name=value\r\n0123456789abcdef\r\n0\r\nTrailer: x\r\n\r\nNEXT";
        BodyDecoder decoder({ BodyKind::Chunked, 0 });
        std::string body;
        std::size_t used = 0;
        while (used < wire.size() && !decoder.isComplete()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 7);
            used += decoder.feed(std::string_view(wire).substr(used, size), body);
        }
        RC_ASSERT(decoder.isComplete());
        RC_ASSERT(!decoder.isMalformed());
        RC_ASSERT(body == "abcd0123456789abcdef");
        RC_ASSERT(wire.substr(used) == "NEXT");
    }));
}

TEST_CASE("A body with a declared length consumes no bytes beyond it")
{
    BodyDecoder decoder({ BodyKind::Length, 3 });
    std::string body;
    CHECK(decoder.feed("abcdef", body) == 3);
    CHECK(body == "abc");
    CHECK(decoder.isComplete());
}

TEST_CASE("A body without declared framing is complete only when its connection has closed")
{
    BodyDecoder decoder({ BodyKind::UntilClose, 0 });
    std::string body;
    decoder.feed("abc", body);
    CHECK_FALSE(decoder.isComplete());
    decoder.connectionClosed();
    CHECK(decoder.isComplete());
}

TEST_CASE("Only complete events are forwarded, each of them once")
{
    EventStreamFilter events(std::nullopt);
    CHECK(events.feed("id: 1\ndata: a\n").empty());
    CHECK(events.hasPartialEvent());
    CHECK(events.feed("\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(events.lastId() == 1);
    CHECK(events.feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK_FALSE(events.hasPartialEvent());
}

TEST_CASE("A resumed stream drops events that were already delivered and reports a gap")
{
    EventStreamFilter repeated(std::optional<std::uint64_t>(2));
    CHECK(repeated.feed("id: 2\ndata: b\n\nid: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
    EventStreamFilter broken(std::optional<std::uint64_t>(2));
    CHECK(broken.feed("id: 4\ndata: d\n\n").empty());
    CHECK(broken.hasGap());
}
