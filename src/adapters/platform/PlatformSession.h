#pragma once

#include "adapters/net/BoundedSession.h"
#include "ports/Fleet.h"
#include "ports/PlatformMessages.h"

#include <memory>
#include <variant>

namespace teaselfold::Internal {

/** A persistent HTTP connection to the platform. Not thread-safe. */
class PlatformSession {
public:
    /** @param timeout limit of a connection attempt, of each wait for response data and of the whole response body. */
    PlatformSession(Address address, Milliseconds timeout)
        : address(std::move(address))
        , timeout(timeout)
    {
    }

    /** Executes one request. @return the result, or PlatformUnavailable if there is no valid response. */
    PlatformResult execute(const PlatformRequest& request);

private:
    struct OutgoingRequest {
        std::string method;
        std::string path;
        /** Value of the If-Match header; empty if the header is not sent. */
        std::string ifMatch;
        /** Value of the If-None-Match header; empty if the header is not sent. */
        std::string ifNoneMatch;
        std::string body;
    };
    struct Response {
        int status { 0 };
        std::string entityTag;
        std::string body;
    };
    using RequestOutcome = std::variant<Response, PlatformUnavailable>;

    PlatformResult insert(const TableInsert& request);
    PlatformResult replace(const TableReplace& request);
    PlatformResult erase(const TableErase& request);
    PlatformResult read(const TableRead& request);
    PlatformResult scan(const TableScan& request);
    PlatformResult writeObject(const ObjectWrite& request);
    PlatformResult readObject(const ObjectRead& request);
    PlatformResult listInstances(const InstanceListRead& request);

    PlatformResult conditionalWrite(const OutgoingRequest& outgoing, const std::string& key, int successStatus);
    RequestOutcome send(const OutgoingRequest& outgoing);
    RequestOutcome sendOnce(const OutgoingRequest& outgoing);
    Response receiveResponse();
    bool connect();
    bool isReusable();

    Address address;
    Milliseconds timeout;
    /** The socket of the session, which shares its budget. */
    BoundedSocket socket;
    std::unique_ptr<BoundedSession> session;
    Instant lastUsed;
};

}
