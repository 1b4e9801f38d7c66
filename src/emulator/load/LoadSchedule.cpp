#include "emulator/load/LoadSchedule.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace teaselfold {

namespace {

    struct Unit {
        std::string_view name;
        Duration length;
    };
    constexpr std::array units { Unit { "ms", Milliseconds(1) }, Unit { "s", Seconds(1) },
        Unit { "m", std::chrono::minutes(1) } };

}

std::optional<Duration> parseDuration(const std::string& text)
{
    std::int64_t number = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc {} || number < 0)
        return std::nullopt;
    const std::string_view name(parsed.ptr, static_cast<std::size_t>(end - parsed.ptr));
    const auto* unit = std::find_if(units.begin(), units.end(), [&](const Unit& one) { return one.name == name; });
    if (unit == units.end())
        return std::nullopt;
    return unit->length * number;
}

std::optional<ScheduledCall> parseScheduledCall(const std::string& line)
{
    std::istringstream in(line);
    std::string time;
    ScheduledCall call;
    in >> time >> call.method >> call.url;
    const auto at = parseDuration(time);
    if (!at || !call.url.starts_with("http://"))
        return std::nullopt;
    call.at = *at;
    std::getline(in >> std::ws, call.body);
    return call;
}

HttpCallResult callHttp(const ScheduledCall& call, Milliseconds timeout)
{
    try {
        const Poco::URI uri(call.url);
        Poco::Net::HTTPClientSession session(uri.getHost(), uri.getPort());
        session.setTimeout(Poco::Timespan(std::chrono::duration_cast<Microseconds>(timeout).count()));
        Poco::Net::HTTPRequest request(call.method, uri.getPathAndQuery(), Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(call.body.size()));
        session.sendRequest(request) << call.body;
        Poco::Net::HTTPResponse response;
        std::istream& in = session.receiveResponse(response);
        HttpCallResult answer { response.getStatus(), {} };
        Poco::StreamCopier::copyToString(in, answer.body);
        return answer;
    } catch (const Poco::Exception&) {
        return {};
    }
}

}
