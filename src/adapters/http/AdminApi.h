#pragma once

#include "adapters/http/AdminDocuments.h"
#include "adapters/http/AdminServer.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace teaselfold::Internal {

/** An HTTP request received on the admin port. */
struct AdminRequest {
    std::string method;
    /** Percent-decoded path segments. */
    std::vector<std::string> path;
    std::map<std::string, std::string> query;
    std::string authorization;
    std::string body;
};

/** Routes admin requests, checks their tokens, and translates between HTTP and the messages of the control duty. */
class AdminApi {
public:
    /** Creates the event for the control duty, given the id that its answer will carry. */
    using EventFactory = std::function<ControlEvent(AdminRequestId)>;
    /** Sends an event to the control duty and blocks until its answer arrives. */
    using ControlCall = std::function<AdminMessage(const EventFactory&)>;

    AdminApi(const AdminServerOptions& options, ProbeCallbacks probes, ControlCall callControl);

    /** Handles one request. Safe to call from any thread. */
    AdminResponse serve(const AdminRequest& request) const;

private:
    using Handler = AdminResponse (AdminApi::*)(const AdminRequest&, const std::string& operatorName) const;
    struct Route;

    const Route* findRoute(const AdminRequest& request) const;
    AdminResponse serveHealth(const AdminRequest&, const std::string&) const;
    AdminResponse serveReadiness(const AdminRequest&, const std::string&) const;
    AdminResponse serveMetrics(const AdminRequest&, const std::string&) const;
    AdminResponse publishNote(const AdminRequest& request, const std::string& operatorName) const;
    AdminResponse listNotes(const AdminRequest& request, const std::string&) const;
    AdminResponse showNote(const AdminRequest& request, const std::string&) const;
    AdminResponse issueZoneOrder(const AdminRequest& request, const std::string& operatorName) const;
    AdminResponse issueEndpointOrder(const AdminRequest& request, const std::string& operatorName) const;
    AdminResponse showStatus(const AdminRequest&, const std::string&) const;
    AdminResponse listQuarantine(const AdminRequest& request, const std::string& operatorName) const;
    AdminResponse releaseFromQuarantine(const AdminRequest& request, const std::string& operatorName) const;
    AdminResponse listAuditRecords(const AdminRequest& request, const std::string& operatorName) const;
    AdminResponse issueOrder(
        const OrderSubject& subject, const AdminRequest& request, const std::string& operatorName) const;

    AdminServerOptions options;
    ProbeCallbacks probes;
    ControlCall callControl;
};

/** Handles only the probes and metrics, for processes without an administration API. */
AdminResponse serveProbes(const AdminRequest& request, const ProbeCallbacks& probes);

/** @return an error response with the HTTP status of the code. */
AdminResponse makeErrorResponse(ErrorCode code, const std::string& message);

}
