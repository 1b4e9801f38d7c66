#include "core/common/FleetUpdate.h"

#include "core/common/HandlerTable.h"

namespace teaselfold {

namespace {

    /** Applies the changes of a note to a copy of the fleet. */
    class FleetEditor {
    public:
        explicit FleetEditor(Fleet fleet)
            : fleet(std::move(fleet))
        {
        }

        void putZone(const Put<Zone>& put) { this->fleet.zones[put.object.id] = put.object; }
        void putService(const Put<Service>& put) { this->fleet.services[put.object.id] = put.object; }
        void putModel(const Put<Model>& put) { this->fleet.models[put.object.id] = put.object; }
        void putEndpoint(const Put<Endpoint>& put) { this->fleet.endpoints[put.object.id] = put.object; }
        void putTeam(const Put<Team>& put) { this->fleet.teams[put.object.id] = put.object; }
        void withdrawZone(const Withdraw<ZoneId>& withdraw) { this->fleet.zones.erase(withdraw.id); }
        void withdrawService(const Withdraw<ServiceId>& withdraw) { this->fleet.services.erase(withdraw.id); }
        void withdrawModel(const Withdraw<ModelId>& withdraw) { this->fleet.models.erase(withdraw.id); }
        void withdrawEndpoint(const Withdraw<EndpointId>& withdraw) { this->fleet.endpoints.erase(withdraw.id); }
        void withdrawTeam(const Withdraw<TeamId>& withdraw) { this->fleet.teams.erase(withdraw.id); }

        Fleet fleet;
    };

    constexpr HandlerTable<FleetEditor, void, FleetChange> editorTable(&FleetEditor::putZone, &FleetEditor::putService,
        &FleetEditor::putModel, &FleetEditor::putEndpoint, &FleetEditor::putTeam, &FleetEditor::withdrawZone,
        &FleetEditor::withdrawService, &FleetEditor::withdrawModel, &FleetEditor::withdrawEndpoint,
        &FleetEditor::withdrawTeam);

}

Fleet applyNote(const Fleet& fleet, const ReleaseNote& note)
{
    FleetEditor editor(fleet);
    for (const FleetChange& change : note.changes)
        editorTable.dispatch(editor, change);
    editor.fleet.version = ReleaseVersion(note.base.get() + 1);
    return std::move(editor.fleet);
}

}
