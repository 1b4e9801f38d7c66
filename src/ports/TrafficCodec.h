#pragma once

#include "ports/GatewayMessages.h"

#include <string>
#include <string_view>
#include <vector>

namespace teaselfold {

/** One header field of an HTTP message. */
struct HeaderField {
    std::string name;
    std::string value;
};

/** Head of an HTTP request. */
struct RequestHead {
    std::string method;
    /** Path and query as received. */
    std::string target;
    bool isHttp10 { false };
    std::vector<HeaderField> fields;
};

/** Head of an HTTP response. */
struct ResponseHead {
    std::uint16_t status { 0 };
    std::string reason;
    std::vector<HeaderField> fields;
};

/** A complete HTTP request that the gateway itself sends to an engine. */
struct EngineCall {
    RequestHead head;
    std::string body;
};

/** Port that translates between HTTP messages and the gateway's types. Makes no decisions. */
class TrafficCodec {
public:
    virtual ~TrafficCodec() = default;

    /** @return the caller's request; the front end sets the id. */
    virtual GatewayRequest readRequest(const RequestHead& head) const = 0;
    /** @return the request head for the endpoint; the front end adds the framing fields. */
    virtual RequestHead writeRequest(const RequestHead& received, const ExchangeParameters& parameters) const = 0;
    /** @return the summary of an endpoint's response. */
    virtual ResponseSummary readResponse(const ResponseHead& head) const = 0;
    /** @return the caller's id of the request to which the response belongs; empty when the response names none. */
    virtual std::string responseRequestId(const ResponseHead& head) const = 0;
    /** @return the call that starts a migration. */
    virtual EngineCall writeMigrationCall(const StartMigration& migration) const = 0;
    /** @return the outcome of a migration; Failed when the body is unreadable. */
    virtual MigrationResponseReceived readMigrationResponse(
        ExchangeId exchange, const ResponseHead& head, std::string_view body) const = 0;
    /** @return true for the platform's readiness probe, which asks whether new connections are accepted. */
    virtual bool isReadinessProbe(const RequestHead& head) const = 0;
};

}
