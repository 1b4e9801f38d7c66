#include "adapters/net/BodyDecoder.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

constexpr std::size_t maxHeadBytes = 4096;

std::uint16_t statusOf(const std::string& head)
{
    const auto read = parseRequestHead(head, maxHeadBytes);
    if (const auto* fault = std::get_if<HeadFault>(&read))
        return fault->status;
    const auto* parsed = std::get_if<ParsedHead<RequestHead>>(&read);
    if (!parsed)
        return 0;
    const auto framing = requestFraming(parsed->head);
    const auto* fault = std::get_if<HeadFault>(&framing);
    return fault ? fault->status : 200;
}

std::string postHead(const std::string& fields) { return "POST /a/ HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n"; }

}

TEST_CASE("A request head that two parsers could interpret differently is rejected")
{
    CHECK(statusOf(postHead("Content-Length: 3\r\n")) == 200);
    CHECK(statusOf(postHead("Transfer-Encoding: chunked\r\n")) == 200);
    CHECK(statusOf(postHead("Content-Length: 3\r\nContent-Length: 3\r\n")) == 400);
    CHECK(statusOf(postHead("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n")) == 400);
    CHECK(statusOf(postHead("Transfer-Encoding: gzip, chunked\r\n")) == 400);
    CHECK(statusOf(postHead("Content-Length: +3\r\n")) == 400);
    CHECK(statusOf(postHead("Content-Length: 3 3\r\n")) == 400);
    CHECK(statusOf(postHead("Content-Length : 3\r\n")) == 400);
    CHECK(statusOf(postHead("X-Folded: a\r\n b\r\n")) == 400);
    CHECK(statusOf(postHead("No colon\r\n")) == 400);
    CHECK(statusOf("POST /a/ HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n") == 400);
    CHECK(statusOf("POST /a b HTTP/1.1\r\nHost: h\r\n\r\n") == 400);
    CHECK(statusOf("POST a HTTP/1.1\r\nHost: h\r\n\r\n") == 400);
    CHECK(statusOf("GET / HTTP/2.0\r\nHost: h\r\n\r\n") == 400);
}

TEST_CASE("A request head above the size limit is rejected before it is complete")
{
    CHECK(statusOf("GET /a/ HTTP/1.1\r\nHost: h\r\n") == 0);
    CHECK(statusOf("GET /a/ HTTP/1.1\r\nX-Long: " + std::string(maxHeadBytes, 'a')) == 431);
}

TEST_CASE("A malformed chunk makes the body malformed")
{
    for (const std::string bytes :
        { "x\r\nabc\r\n", "3\nabc\r\n0\r\n\r\n", "3\r\nabcd\r\n0\r\n\r\n", "\r\n", "-1\r\n" }) {
        BodyDecoder decoder({ BodyKind::Chunked, 0 });
        std::string body;
        decoder.feed(bytes, body);
        CHECK(decoder.isMalformed());
    }
}
