#include "AdminClient.h"

#include "adapters/fleet/DocumentReader.h"
#include "adapters/net/BoundedResponse.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <array>
#include <iostream>

namespace teaselfold::Ctl {

namespace {

    constexpr Seconds connectTimeout(2);
    /** Exceeds the time limit after which an entry always answers a publish request. */
    constexpr Seconds replyTimeout(12);
    constexpr std::size_t maxReplyBytes = std::size_t { 64 } * 1024 * 1024;

    Poco::JSON::Object::Ptr parseObject(const std::string& text)
    {
        try {
            return Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
        } catch (const Poco::Exception&) {
            return {};
        }
    }

    /** @return true if the entry was unavailable and did not run the request, so that another entry can be tried. */
    bool shouldTryNext(const Reply& reply)
    {
        constexpr std::uint16_t unavailable = 503;
        if (reply.status != unavailable || reply.json.isNull())
            return false;
        const auto error = reply.json->getObject("error");
        return !error.isNull() && error->optValue<std::string>("run", "") == "no";
    }

    struct ExitCodeMapping {
        std::uint16_t status;
        ExitCode code;
    };

    constexpr std::array exitCodeMappings {
        ExitCodeMapping { 400, ExitCode::Rejected },
        ExitCodeMapping { 404, ExitCode::Rejected },
        ExitCodeMapping { 413, ExitCode::Rejected },
        ExitCodeMapping { 409, ExitCode::Conflict },
        ExitCodeMapping { 401, ExitCode::Denied },
        ExitCodeMapping { 403, ExitCode::Denied },
    };

}

AdminClient::AdminClient(std::vector<Address> entries, std::string token)
    : entries(std::move(entries))
    , token(std::move(token))
{
}

std::optional<Reply> AdminClient::send(const Request& request) const
{
    std::optional<Reply> lastReply;
    for (const Address& entry : this->entries) {
        std::optional<Reply> reply = this->sendTo(entry, request);
        if (reply && !shouldTryNext(*reply))
            return reply;
        const char* problem = reply ? " cannot serve this now" : " does not answer";
        std::cerr << "entry " << Internal::formatAddress(entry) << problem << "\n";
        if (reply)
            lastReply = std::move(reply);
    }
    return lastReply;
}

std::optional<Reply> AdminClient::sendTo(const Address& entry, const Request& request) const
{
    try {
        BoundedSocket socket;
        socket.beginExchange({ Instant::max(), maxReplyBytes });
        BoundedSession session(socket);
        session.setHost(entry.host);
        session.setPort(entry.port);
        session.setTimeout(Poco::Timespan(connectTimeout.count(), 0), Poco::Timespan(replyTimeout.count(), 0),
            Poco::Timespan(replyTimeout.count(), 0));
        Poco::Net::HTTPRequest message(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
        if (!this->token.empty())
            message.set("Authorization", "Bearer " + this->token);
        message.setContentLength(static_cast<std::streamsize>(request.body.size()));
        session.sendRequest(message) << request.body;
        Poco::Net::HTTPResponse response;
        Reply reply;
        receiveHead(session, response);
        const auto append = [&](std::string_view bytes) {
            reply.body.append(bytes);
            return true;
        };
        if (!receiveBody(session, response, append))
            return std::nullopt;
        reply.status = static_cast<std::uint16_t>(response.getStatus());
        reply.json = parseObject(reply.body);
        return reply;
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

ExitCode exitCodeOf(const std::optional<Reply>& reply)
{
    if (!reply)
        return ExitCode::Unavailable;
    if (reply->isOk())
        return ExitCode::Done;
    for (const ExitCodeMapping& row : exitCodeMappings) {
        if (row.status == reply->status)
            return row.code;
    }
    return ExitCode::Unavailable;
}

}
