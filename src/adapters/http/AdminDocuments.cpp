#include "adapters/http/AdminDocuments.h"

#include "adapters/fleet/FleetDocuments.h"
#include "core/common/ServiceOrders.h"
#include "core/control/StorageKeys.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <sstream>

namespace teaselfold::Internal {

namespace {

    using Poco::JSON::Array;
    using Poco::JSON::Object;

    constexpr std::uint16_t statusOk = 200;
    constexpr std::uint16_t statusCreated = 201;

    AdminResponse makeJsonResponse(std::uint16_t status, const Object::Ptr& json)
    {
        std::ostringstream text;
        json->stringify(text);
        AdminResponse response;
        response.status = status;
        response.body = text.str() + "\n";
        return response;
    }

    Object::Ptr writeError(const Failure& failure)
    {
        Object::Ptr error(new Object);
        error->set("code", std::string(errorCodeName(failure.code)));
        error->set("message", failure.message);
        error->set("run", std::string(executedName(failure.run)));
        Object::Ptr json(new Object);
        json->set("error", error);
        return json;
    }

    Object::Ptr writeConflict(const std::string& text)
    {
        return writeError(Failure { ErrorCode::Conflict, text, Executed::No, Milliseconds(0) });
    }

    Array::Ptr writeProblems(const std::vector<NoteProblem>& problems)
    {
        Array::Ptr list(new Array);
        for (const NoteProblem& problem : problems) {
            Object::Ptr json(new Object);
            json->set("place", problem.place);
            json->set("line", problem.line);
            json->set("expected", problem.expected);
            list->add(json);
        }
        return list;
    }

    /** Writes the configuration in force and the last report of each endpoint's agent. */
    class StatusWriter {
    public:
        explicit StatusWriter(const ConfigurationView& view)
            : view(view)
        {
            for (const ServiceOrder& order : view.orders)
                this->orders.merge(order);
        }

        Object::Ptr write() const
        {
            Object::Ptr json(new Object);
            json->set("version", static_cast<Poco::UInt64>(this->view.fleet.version.get()));
            json->set("table_reachable", this->view.tableReachable);
            json->set("zones", this->writeZones());
            json->set("endpoints", this->writeEndpoints());
            json->set("lacking", this->writeOutdatedEndpoints());
            json->set("orders", this->writeOrders());
            json->set("leaving_instances", this->writeLeavingInstances());
            json->set("fleet", writeFleet(this->view.fleet));
            return json;
        }

    private:
        Array::Ptr writeZones() const
        {
            Array::Ptr list(new Array);
            for (const auto& [id, zone] : this->view.fleet.zones) {
                Object::Ptr json = writeObject(zone);
                json->set("out", this->orders.isOutOfService(id));
                list->add(json);
            }
            return list;
        }

        Array::Ptr writeEndpoints() const
        {
            Array::Ptr list(new Array);
            for (const auto& [id, endpoint] : this->view.fleet.endpoints) {
                Object::Ptr json = writeObject(endpoint);
                json->set("out", this->orders.isOutOfService(id) || this->orders.isOutOfService(endpoint.zone));
                const EndpointView* endpointView = this->findEndpointView(id);
                json->set("reported", endpointView != nullptr);
                if (endpointView != nullptr)
                    StatusWriter::writeReport(*endpointView, *json);
                list->add(json);
            }
            return list;
        }

        static void writeReport(const EndpointView& endpointView, Object& json)
        {
            const LoadReport& report = endpointView.report;
            json.set("version", static_cast<Poco::UInt64>(report.release.get()));
            json.set("running", report.running);
            json.set("queued", report.queued);
            json.set("room", report.room);
            json.set("memory_permille", report.memoryPermille);
            json.set("pace_us", static_cast<Poco::Int64>(report.pace.count()));
            json.set("expected_wait_ms", static_cast<Poco::Int64>(report.expectedWait.count()));
            json.set("cold", report.cold);
            json.set("leaving", report.leaving);
            json.set("age_ms", static_cast<Poco::Int64>(endpointView.age.count()));
        }

        Array::Ptr writeOutdatedEndpoints() const
        {
            Array::Ptr list(new Array);
            for (const auto& [id, endpoint] : this->view.fleet.endpoints) {
                const EndpointView* endpointView = this->findEndpointView(id);
                if (endpointView == nullptr || endpointView->report.release < this->view.fleet.version)
                    list->add(id.get());
            }
            return list;
        }

        Array::Ptr writeOrders() const
        {
            Array::Ptr list(new Array);
            for (const ServiceOrder& order : this->view.orders)
                list->add(writeOrder(order));
            return list;
        }

        Array::Ptr writeLeavingInstances() const
        {
            Array::Ptr list(new Array);
            for (const std::string& name : this->view.leavingInstances)
                list->add(name);
            return list;
        }

        const EndpointView* findEndpointView(const EndpointId& id) const
        {
            const auto& endpointViews = this->view.endpoints;
            const auto found = std::find_if(endpointViews.begin(), endpointViews.end(),
                [&](const EndpointView& endpoint) { return endpoint.endpoint == id; });
            return found == endpointViews.end() ? nullptr : &*found;
        }

        const ConfigurationView& view;
        ServiceOrders orders;
    };

    /** Renders each type of answer with its own overload. */
    struct MessageRenderer {
        AdminResponse operator()(const NoteAccepted& message) const
        {
            Object::Ptr json(new Object);
            json->set("version", static_cast<Poco::UInt64>(message.version.get()));
            json->set("dry_run", message.dryRun);
            return makeJsonResponse(message.dryRun ? statusOk : statusCreated, json);
        }

        AdminResponse operator()(const NoteStale& message) const
        {
            const std::string current = std::to_string(message.current.get());
            Object::Ptr json = writeConflict("the note's base is not the newest version, which is " + current);
            json->set("current", static_cast<Poco::UInt64>(message.current.get()));
            return makeJsonResponse(httpStatus(ErrorCode::Conflict), json);
        }

        AdminResponse operator()(const NoteInvalid& message) const
        {
            Object::Ptr json
                = writeError(Failure { ErrorCode::BadRequest, "the note is wrong", Executed::No, Milliseconds(0) });
            json->set("problems", writeProblems(message.problems));
            return makeJsonResponse(httpStatus(ErrorCode::BadRequest), json);
        }

        AdminResponse operator()(const OrderAccepted& message) const
        {
            Object::Ptr json(new Object);
            json->set("state", message.order.recorded ? "recorded" : "in force, not yet recorded");
            json->set("order", writeOrder(message.order));
            return makeJsonResponse(statusOk, json);
        }

        AdminResponse operator()(const OrderSuperseded& message) const
        {
            Object::Ptr json = writeConflict("an order of " + message.winner.author + " won");
            json->set("winner", writeOrder(message.winner));
            return makeJsonResponse(httpStatus(ErrorCode::Conflict), json);
        }

        AdminResponse operator()(const ConfigurationView& message) const
        {
            return makeJsonResponse(statusOk, StatusWriter(message).write());
        }

        AdminResponse operator()(const HistoryView& message) const
        {
            Array::Ptr list(new Array);
            for (const HistoryLine& line : message.lines) {
                Object::Ptr item(new Object);
                item->set("version", static_cast<Poco::UInt64>(line.version.get()));
                item->set("note", writeNote(line.note));
                list->add(item);
            }
            Object::Ptr json(new Object);
            json->set("notes", list);
            return makeJsonResponse(statusOk, json);
        }

        AdminResponse operator()(const QuarantineView& message) const
        {
            Array::Ptr list(new Array);
            for (const SuspectView& suspect : message.suspects) {
                Object::Ptr item(new Object);
                item->set("fingerprint", fingerprintText(suspect.fingerprint));
                item->set("deaths", suspect.deaths);
                item->set("remaining_ms", static_cast<Poco::Int64>(suspect.remaining.count()));
                item->set("refused", suspect.refused);
                list->add(item);
            }
            Object::Ptr json(new Object);
            json->set("suspects", list);
            return makeJsonResponse(statusOk, json);
        }

        AdminResponse operator()(const QuarantineReleased& message) const
        {
            Object::Ptr json(new Object);
            json->set("act", writeAuditRecord(message.auditRecord));
            return makeJsonResponse(statusOk, json);
        }

        AdminResponse operator()(const AuditLogView& message) const
        {
            Array::Ptr list(new Array);
            for (const AuditRecord& auditRecord : message.records)
                list->add(writeAuditRecord(auditRecord));
            Object::Ptr json(new Object);
            json->set("acts", list);
            json->set("next", message.next);
            json->set("complete", message.complete);
            return makeJsonResponse(statusOk, json);
        }

        AdminResponse operator()(const Failure& message) const
        {
            AdminResponse response = makeJsonResponse(httpStatus(message.code), writeError(message));
            response.retryAfter = message.retryAfter;
            return response;
        }
    };

}

AdminResponse renderAdminMessage(const AdminMessage& message) { return std::visit(MessageRenderer {}, message); }

}
