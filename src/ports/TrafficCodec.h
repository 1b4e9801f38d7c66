#pragma once

#include "ports/GatewayMessages.h"

#include <string>
#include <string_view>
#include <vector>

namespace teaselfold {

/** One field of a message's head. */
struct HeaderField {
    std::string name;
    std::string value;
};

/** Head of an HTTP request. */
struct RequestHead {
    std::string method;
    /** Path and query as they were sent. */
    std::string target;
    bool isHttp10 { false };
    std::vector<HeaderField> fields;
};

/** Head of an HTTP answer. */
struct ResponseHead {
    std::uint16_t status { 0 };
    std::string reason;
    std::vector<HeaderField> fields;
};

/** A call that one engine is given about another, as a whole message body. */
struct EngineCall {
    RequestHead head;
    std::string body;
};

/** Port towards the names that callers and endpoints use in their messages. Translates, and decides nothing. */
class TrafficCodec {
public:
    virtual ~TrafficCodec() = default;

    /** @return what the caller asks for; the id is left to the front. */
    virtual GatewayRequest readRequest(const RequestHead& head) const = 0;
    /** @return the head with which the request goes to an endpoint; framing fields are left to the front. */
    virtual RequestHead writeRequest(const RequestHead& received, const ExchangeParameters& parameters) const = 0;
    /** @return what an endpoint's answer says. */
    virtual ResponseSummary readResponse(const ResponseHead& head) const = 0;
    /** @return the caller's id of the request that the answer belongs to; empty when it names none. */
    virtual std::string responseRequestId(const ResponseHead& head) const = 0;
    /** @return the call that starts a move. */
    virtual EngineCall writeMigrationCall(const StartMigration& move) const = 0;
    /** @return the outcome of a move. Something unreadable is a failed move. */
    virtual MigrationResponseReceived readMigrationResponse(
        ExchangeId exchange, std::uint16_t status, std::string_view body) const = 0;
    /** @return true for the platform's question whether new connections are welcome. */
    virtual bool isReadinessProbe(const RequestHead& head) const = 0;
};

}
