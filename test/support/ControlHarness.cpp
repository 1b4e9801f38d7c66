#include "support/ControlHarness.h"

#include <memory>

namespace teaselfold::test {

namespace {

    const JsonDocumentCodec codec;

    ConfigurationController makeController(const std::string& entry, std::uint64_t seed)
    {
        // The source must outlive the controller, so it is kept until the program ends.
        static std::vector<std::unique_ptr<CountingRandomness>> sources;
        sources.push_back(std::make_unique<CountingRandomness>(seed));
        return ConfigurationControllerBuilder()
            .withEntry(EntryId(entry))
            .withCodec(codec)
            .withRandomness(*sources.back())
            .withStrategies({ { "prefix-two-choice" }, { "conditional" } })
            .build();
    }

}

PlatformResult MemoryPlatform::serve(const PlatformRequest& request) { return std::visit(*this, request); }

PlatformResult MemoryPlatform::operator()(const TableInsert& request)
{
    const auto [row, isNew] = this->rows.try_emplace(request.key, TableRecord { request.key, request.value, 1 });
    if (isNew)
        return WriteDone { 1 };
    return WriteConflict { row->second };
}

PlatformResult MemoryPlatform::operator()(const TableReplace& request)
{
    const auto row = this->rows.find(request.key);
    if (row == this->rows.end())
        return WriteConflict {};
    if (row->second.version != request.expectedVersion)
        return WriteConflict { row->second };
    row->second.value = request.value;
    return WriteDone { ++row->second.version };
}

PlatformResult MemoryPlatform::operator()(const TableErase& request)
{
    this->rows.erase(request.key);
    return WriteDone {};
}

PlatformResult MemoryPlatform::operator()(const TableRead& request)
{
    const auto row = this->rows.find(request.key);
    return row == this->rows.end() ? Rows {} : Rows { { row->second } };
}

PlatformResult MemoryPlatform::operator()(const TableScan& request)
{
    Rows found;
    for (const auto& [key, row] : this->rows) {
        if (key.starts_with(request.prefix) && key > request.after && found.rows.size() < request.limit)
            found.rows.push_back(row);
    }
    return found;
}

PlatformResult MemoryPlatform::operator()(const ObjectWrite& request)
{
    this->objects[request.key] = request.value;
    return WriteDone {};
}

PlatformResult MemoryPlatform::operator()(const ObjectRead& request)
{
    const auto object = this->objects.find(request.key);
    if (object == this->objects.end())
        return ObjectMissing {};
    return ObjectFound { object->second };
}

PlatformResult MemoryPlatform::operator()(const InstanceListRead&) { return this->instances; }

ControlHarness::ControlHarness(const std::string& entry, MemoryPlatform& platform, std::uint64_t seed)
    : controller(makeController(entry, seed))
    , platform(platform)
{
}

void ControlHarness::send(const ControlEvent& event)
{
    this->apply(this->controller.handle(event, this->now));
    this->servePendingOperations();
}

void ControlHarness::servePendingOperations()
{
    while (!this->holdOperations && !this->pendingOperations.empty()) {
        const PlatformOperation operation = this->pendingOperations.front();
        this->pendingOperations.erase(this->pendingOperations.begin());
        const PlatformReply reply { operation.operation, this->serveWithFault(operation.request) };
        this->apply(this->controller.handle(ControlPlatformReply { reply }, this->now));
    }
}

PlatformResult ControlHarness::serveWithFault(const PlatformRequest& request)
{
    if (this->fault == PlatformFault::Unavailable)
        return PlatformUnavailable { false };
    PlatformResult result = this->platform.serve(request);
    return this->fault == PlatformFault::None ? result : PlatformUnavailable { true };
}

void ControlHarness::apply(const std::vector<ControlAction>& actions)
{
    for (const ControlAction& action : actions) {
        if (const auto* operation = std::get_if<ControlToPlatform>(&action))
            this->pendingOperations.push_back(operation->operation);
        if (const auto* answer = std::get_if<ToAdmin>(&action))
            this->answers.insert_or_assign(answer->admin, answer->message);
        const auto* toRouter = std::get_if<ToRouter>(&action);
        if (toRouter == nullptr)
            continue;
        if (const auto* fleet = std::get_if<FleetChanged>(&toRouter->event))
            this->versions.push_back(fleet->fleet.version.get());
        if (const auto* orders = std::get_if<OrdersChanged>(&toRouter->event))
            this->routerOrders = orders->orders;
    }
}

void ControlHarness::advanceTime(Duration time)
{
    const Instant until = this->now + time;
    while (this->now < until) {
        this->now += Milliseconds(100);
        this->send(ControlTick {});
    }
}

std::optional<AdminMessage> ControlHarness::publish(const ReleaseNote& note, bool dryRun)
{
    this->send(PublishNote { AdminRequestId(++this->lastAdmin), note, dryRun });
    return this->answer();
}

std::optional<AdminMessage> ControlHarness::order(const OrderSubject& subject, bool out)
{
    this->send(IssueOrder { AdminRequestId(++this->lastAdmin), subject, out, "an.operator", "maintenance" });
    return this->answer();
}

ConfigurationView ControlHarness::view()
{
    this->send(QueryConfiguration { AdminRequestId(++this->lastAdmin) });
    return std::get<ConfigurationView>(*this->answer());
}

std::optional<AdminMessage> ControlHarness::answer() const
{
    const auto found = this->answers.find(AdminRequestId(this->lastAdmin));
    if (found == this->answers.end())
        return std::nullopt;
    return found->second;
}

ReleaseNote zoneNote(const std::string& id, std::uint64_t base, const std::string& zone)
{
    ReleaseNote note;
    note.id = NoteId(id);
    note.base = ReleaseVersion(base);
    note.author = "an.operator";
    note.reason = "a new zone";
    note.changes.emplace_back(Put<Zone> { Zone { ZoneId(zone), "kigali" } });
    return note;
}

}
