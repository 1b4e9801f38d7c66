#pragma once

#include "adapters/http/AdminDocuments.h"
#include "adapters/http/AdminServer.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace teaselfold::Internal {

/** A request on the admin port, read whole. */
struct AdminRequest {
    std::string method;
    /** Parts of the path between slashes, decoded. */
    std::vector<std::string> path;
    std::map<std::string, std::string> query;
    std::string authorization;
    std::string body;
};

/** Turns requests on the admin port into events of the control duty and its answers into responses. */
class AdminApi {
public:
    /** Makes the event for the control duty under the id that its answer comes back under. */
    using EventMaker = std::function<ControlEvent(AdminRequestId)>;
    /** Passes an event to the control duty and waits for the answer. */
    using Ask = std::function<AdminMessage(const EventMaker&)>;

    AdminApi(const AdminServerOptions& options, ProbeSources probes, Ask ask);

    /** Serves one request. Called from several threads. */
    AdminResponse serve(const AdminRequest& request) const;

private:
    using Handler = AdminResponse (AdminApi::*)(const AdminRequest&, const std::string& operatorName) const;
    struct Route;

    const Route* findRoute(const AdminRequest& request) const;
    AdminResponse healthz(const AdminRequest&, const std::string&) const;
    AdminResponse readyz(const AdminRequest&, const std::string&) const;
    AdminResponse metrics(const AdminRequest&, const std::string&) const;
    AdminResponse publish(const AdminRequest& request, const std::string& operatorName) const;
    AdminResponse history(const AdminRequest& request, const std::string&) const;
    AdminResponse show(const AdminRequest& request, const std::string&) const;
    AdminResponse orderZone(const AdminRequest& request, const std::string& operatorName) const;
    AdminResponse orderEndpoint(const AdminRequest& request, const std::string& operatorName) const;
    AdminResponse status(const AdminRequest&, const std::string&) const;
    AdminResponse quarantine(const AdminRequest& request, const std::string& operatorName) const;
    AdminResponse release(const AdminRequest& request, const std::string& operatorName) const;
    AdminResponse acts(const AdminRequest& request, const std::string& operatorName) const;
    AdminResponse giveOrder(
        const OrderSubject& subject, const AdminRequest& request, const std::string& operatorName) const;

    AdminServerOptions options;
    ProbeSources probes;
    Ask ask;
};

/** Answers the probes alone, for processes without an administration API. */
AdminResponse serveProbes(const AdminRequest& request, const ProbeSources& probes);

/** @return a failure as a response. */
AdminResponse refuse(ErrorCode code, const std::string& message);

}
