#include "adapters/fleet/FleetDocuments.h"

#include <Poco/JSON/Array.h>

namespace teaselfold::Internal {

namespace {

    using Poco::JSON::Array;
    using Poco::JSON::Object;

    /** Indexed by AuditedAction. */
    const std::vector<std::string> auditedActionNames { "note_accepted", "taken_out", "brought_in",
        "request_released" };

    constexpr std::uint64_t maxNumber = std::numeric_limits<std::uint64_t>::max();

    /** Appends items to the lists of one section of a note, one list for each kind of object. */
    class SectionWriter {
    public:
        template <typename Item> void add(const char* kind, const Item& item)
        {
            if (!this->section->has(kind))
                this->section->set(kind, Array::Ptr(new Array));
            this->section->getArray(kind)->add(item);
        }

        Object::Ptr section { new Object };
    };

    /** Visitor that distributes the changes of a note to its three sections. */
    class NoteWriter {
    public:
        void operator()(const Put<Zone>& put) { this->put("zones", put); }
        void operator()(const Put<Service>& put) { this->put("services", put); }
        void operator()(const Put<Model>& put) { this->put("models", put); }
        void operator()(const Put<Endpoint>& put) { this->put("endpoints", put); }
        void operator()(const Put<Team>& put) { this->put("teams", put); }
        void operator()(const Withdraw<ZoneId>& item) { this->withdrawn.add("zones", item.id.get()); }
        void operator()(const Withdraw<ServiceId>& item) { this->withdrawn.add("services", item.id.get()); }
        void operator()(const Withdraw<ModelId>& item) { this->withdrawn.add("models", item.id.get()); }
        void operator()(const Withdraw<EndpointId>& item) { this->withdrawn.add("endpoints", item.id.get()); }
        void operator()(const Withdraw<TeamId>& item) { this->withdrawn.add("teams", item.id.get()); }

        SectionWriter added;
        SectionWriter changed;
        SectionWriter withdrawn;

    private:
        template <typename Item> void put(const char* kind, const Put<Item>& put)
        {
            (put.replaces ? this->changed : this->added).add(kind, writeObject(put.object));
        }
    };

    template <typename Item>
    void readPuts(DocumentReader& section, const char* kind, bool replaces, std::vector<FleetChange>& changes)
    {
        for (DocumentReader& item : section.items(kind)) {
            Put<Item> put;
            put.replaces = replaces;
            readObject(item, put.object);
            changes.emplace_back(std::move(put));
        }
    }

    template <typename ItemId>
    void readWithdrawals(DocumentReader& section, const char* kind, std::vector<FleetChange>& changes)
    {
        for (const std::string& id : section.texts(kind))
            changes.emplace_back(Withdraw<ItemId> { ItemId(id) });
    }

    void readPutSection(DocumentReader& reader, const char* name, bool replaces, std::vector<FleetChange>& changes)
    {
        std::optional<DocumentReader> section = reader.child(name);
        if (!section)
            return;
        readPuts<Zone>(*section, "zones", replaces, changes);
        readPuts<Service>(*section, "services", replaces, changes);
        readPuts<Model>(*section, "models", replaces, changes);
        readPuts<Endpoint>(*section, "endpoints", replaces, changes);
        readPuts<Team>(*section, "teams", replaces, changes);
        section->reportUnexpectedKeys();
    }

    void readWithdrawalSection(DocumentReader& reader, std::vector<FleetChange>& changes)
    {
        std::optional<DocumentReader> section = reader.child("withdrawn");
        if (!section)
            return;
        readWithdrawals<ZoneId>(*section, "zones", changes);
        readWithdrawals<ServiceId>(*section, "services", changes);
        readWithdrawals<ModelId>(*section, "models", changes);
        readWithdrawals<EndpointId>(*section, "endpoints", changes);
        readWithdrawals<TeamId>(*section, "teams", changes);
        section->reportUnexpectedKeys();
    }

    template <typename ItemId, typename Item>
    void readItems(DocumentReader& reader, const char* kind, std::map<ItemId, Item>& items)
    {
        for (DocumentReader& child : reader.items(kind)) {
            Item item;
            readObject(child, item);
            const ItemId id = item.id;
            items.insert_or_assign(id, std::move(item));
        }
    }

    template <typename ItemId, typename Item> Array::Ptr writeItems(const std::map<ItemId, Item>& items)
    {
        Array::Ptr list(new Array);
        for (const auto& [id, item] : items)
            list->add(writeObject(item));
        return list;
    }

}

Object::Ptr writeFleet(const Fleet& fleet)
{
    Object::Ptr json(new Object);
    json->set("version", static_cast<Poco::UInt64>(fleet.version.get()));
    json->set("zones", writeItems(fleet.zones));
    json->set("services", writeItems(fleet.services));
    json->set("models", writeItems(fleet.models));
    json->set("endpoints", writeItems(fleet.endpoints));
    json->set("teams", writeItems(fleet.teams));
    return json;
}

Fleet readFleet(DocumentReader& reader)
{
    Fleet fleet;
    fleet.version = ReleaseVersion(reader.number("version", 0, maxNumber));
    readItems(reader, "zones", fleet.zones);
    readItems(reader, "services", fleet.services);
    readItems(reader, "models", fleet.models);
    readItems(reader, "endpoints", fleet.endpoints);
    readItems(reader, "teams", fleet.teams);
    reader.reportUnexpectedKeys();
    return fleet;
}

Object::Ptr writeNote(const ReleaseNote& note)
{
    NoteWriter writer;
    for (const FleetChange& change : note.changes)
        std::visit(writer, change);
    Object::Ptr json(new Object);
    json->set("id", note.id.get());
    json->set("base", static_cast<Poco::UInt64>(note.base.get()));
    json->set("author", note.author);
    json->set("reason", note.reason);
    json->set("added", writer.added.section);
    json->set("changed", writer.changed.section);
    json->set("withdrawn", writer.withdrawn.section);
    return json;
}

ReleaseNote readNote(DocumentReader& reader)
{
    ReleaseNote note;
    note.id = NoteId(reader.text("id"));
    note.base = ReleaseVersion(reader.number("base", 0, maxNumber - 1));
    note.author = reader.text("author", "");
    note.reason = reader.text("reason", "");
    readPutSection(reader, "added", false, note.changes);
    readPutSection(reader, "changed", true, note.changes);
    readWithdrawalSection(reader, note.changes);
    reader.reportUnexpectedKeys();
    return note;
}

Object::Ptr writeOrder(const ServiceOrder& order)
{
    const bool isZone = std::holds_alternative<ZoneId>(order.subject);
    Object::Ptr json(new Object);
    json->set("kind", isZone ? "zone" : "endpoint");
    json->set("subject", std::visit([](const auto& id) { return id.get(); }, order.subject));
    json->set("sequence", static_cast<Poco::UInt64>(order.sequence));
    json->set("out", order.out);
    json->set("id", order.id.get());
    json->set("author", order.author);
    json->set("reason", order.reason);
    json->set("recorded", order.recorded);
    return json;
}

ServiceOrder readOrder(DocumentReader& reader)
{
    ServiceOrder order;
    const bool isZone = reader.choice("kind", 0, { "zone", "endpoint" }) == 0;
    const std::string subject = reader.text("subject");
    if (isZone)
        order.subject = ZoneId(subject);
    else
        order.subject = EndpointId(subject);
    order.sequence = reader.number("sequence", 0, maxNumber);
    order.out = reader.flag("out", false);
    order.id = OrderId(reader.text("id"));
    order.author = reader.text("author", "");
    order.reason = reader.text("reason", "");
    order.recorded = reader.flag("recorded", false);
    reader.reportUnexpectedKeys();
    return order;
}

Object::Ptr writeAuditRecord(const AuditRecord& record)
{
    Object::Ptr json(new Object);
    json->set("id", record.id.get());
    json->set("kind", auditedActionNames.at(static_cast<std::size_t>(record.kind)));
    json->set("subject", record.subject);
    json->set("author", record.author);
    json->set("reason", record.reason);
    json->set("at_ms", static_cast<Poco::UInt64>(record.at.time_since_epoch().count()));
    json->set("recorded", record.recorded);
    return json;
}

AuditRecord readAuditRecord(DocumentReader& reader)
{
    constexpr std::uint64_t latest = std::numeric_limits<std::int64_t>::max();
    AuditRecord record;
    record.id = OrderId(reader.text("id"));
    record.kind = static_cast<AuditedAction>(reader.choice("kind", 0, auditedActionNames));
    record.subject = reader.text("subject");
    record.author = reader.text("author", "");
    record.reason = reader.text("reason", "");
    record.at = WallTime(Milliseconds(reader.number("at_ms", 0, latest)));
    record.recorded = reader.flag("recorded", false);
    reader.reportUnexpectedKeys();
    return record;
}

}
