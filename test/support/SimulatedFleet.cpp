#include "support/SimulatedFleet.h"

#include "core/common/FleetUpdate.h"

#include <xxhash.h>

namespace teaselfold::testing {

namespace {

    constexpr Milliseconds linkDelay { 1 };
    constexpr Milliseconds engineDelay { 1 };
    constexpr Milliseconds callerDelay { 1 };
    constexpr Milliseconds serviceTime { 20 };
    constexpr Milliseconds entryTickPeriod { 100 };
    constexpr Milliseconds agentTickPeriod { 100 };
    constexpr Milliseconds engineReportPeriod { 250 };
    constexpr Milliseconds connectionRefusalDelay { 2 };
    const TeamId defaultTeam("huye");

    Fingerprint fingerprintOf(const std::string& text) { return Fingerprint(XXH3_64bits(text.data(), text.size())); }

    ReleaseNote initialNote()
    {
        ReleaseNote note;
        note.id = NoteId("first");
        note.author = "setup";
        note.reason = "first fleet";
        for (const char* zone : { "a", "b", "c" })
            note.changes.push_back(Put<Zone> { { ZoneId(zone), "region-1" } });
        Service drafters;
        drafters.id = ServiceId("drafters");
        note.changes.push_back(Put<Service> { drafters });
        Service registry;
        registry.id = ServiceId("registry");
        registry.kind = ServiceKind::Plain;
        registry.nonRepeatable = { { "POST", "/orders" } };
        note.changes.push_back(Put<Service> { registry });
        note.changes.push_back(Put<Model> { { ModelId("drafter"), drafters.id, "1", {} } });
        const std::pair<const char*, const char*> endpoints[]
            = { { "e1", "a" }, { "e2", "b" }, { "e3", "c" }, { "s1", "a" }, { "s2", "b" } };
        std::uint16_t port = 7000;
        for (const auto& [name, zone] : endpoints) {
            const ServiceId service = name[0] == 's' ? registry.id : drafters.id;
            note.changes.push_back(
                Put<Endpoint> { { EndpointId(name), ZoneId(zone), service, { "127.0.0.1", ++port }, true } });
        }
        for (const char* team : { "huye", "musanze" })
            note.changes.push_back(Put<Team> { { TeamId(team), 1, 1000, "" } });
        return note;
    }

}

SimulatedFleet::SimulatedFleet(std::uint64_t seed)
    : seed(seed)
    , fakePlatform(scheduler)
{
    this->fakePlatform.submit(
        { OperationId(0), TableInsert { "release/00000000000000000001", this->codec.encodeNote(initialNote()) } },
        [](const PlatformReply&) {});
}

SimulatedFleet::Process& SimulatedFleet::process(const std::string& name)
{
    if (this->entries.contains(name))
        return this->entries[name];
    return this->agents[name];
}

void SimulatedFleet::runInProcess(const std::string& name, std::function<void()> task)
{
    Process& process = this->process(name);
    if (!process.alive)
        return;
    if (process.paused)
        process.deferredTasks.push_back(std::move(task));
    else
        task();
}

void SimulatedFleet::scheduleInProcess(const std::string& name, Duration delay, std::function<void()> task)
{
    const std::uint64_t epoch = this->process(name).epoch;
    this->scheduler.scheduleAfter(delay, [this, name, epoch, task = std::move(task)] {
        if (this->process(name).epoch == epoch)
            this->runInProcess(name, task);
    });
}

void SimulatedFleet::recordLine(const std::string& from, const std::string& to, TranscriptLine line)
{
    if (line.event.empty())
        return;
    line.at = this->scheduler.elapsed();
    line.from = from;
    line.to = to;
    this->recordedTranscript.add(std::move(line));
}

void SimulatedFleet::recordFault(const std::string& event, const std::string& subject)
{
    this->recordLine("fault", subject, TranscriptLine { {}, {}, {}, event, {} });
}

bool SimulatedFleet::isServiceAgent(const std::string& agent) const { return agent.front() == 's'; }

// Starting and stopping processes.

void SimulatedFleet::startEntry(const std::string& name)
{
    EntryNode& node = this->entries[name];
    this->recordFault("start", name);
    node.alive = true;
    node.paused = false;
    ++node.epoch;
    node.randomness
        = std::make_unique<SeededRandomness>(this->seed ^ fingerprintOf(name + std::to_string(node.epoch)).get());
    const ZoneId zone(name == "x" ? "a" : "b");
    node.router = RouterBuilder().withSelf(EntryId(name)).withZone(zone).withRandomness(*node.randomness).build();
    node.controller.emplace(ConfigurationControllerBuilder()
                                .withEntry(EntryId(name))
                                .withCodec(this->codec)
                                .withRandomness(*node.randomness)
                                .build());
    this->tickEntry(name, node.epoch);
}

void SimulatedFleet::startAgent(const std::string& name)
{
    AgentNode& node = this->agents[name];
    this->recordFault("start", name);
    node.alive = true;
    node.paused = false;
    ++node.epoch;
    node.randomness
        = std::make_unique<SeededRandomness>(this->seed ^ fingerprintOf(name + std::to_string(node.epoch)).get());
    node.incarnation = Incarnation(node.randomness->next());
    const ZoneId zone(std::string(1, static_cast<char>('a' + (name[1] - '1'))));
    node.admission.reset();
    node.calls.reset();
    if (this->isServiceAgent(name)) {
        node.calls.emplace(CallAdmissionBuilder()
                               .withEndpoint(EndpointId(name))
                               .withZone(zone)
                               .withIncarnation(node.incarnation)
                               .withRandomness(*node.randomness)
                               .build());
    } else {
        node.admission.emplace(AdmissionControllerBuilder()
                                   .withEndpoint(EndpointId(name))
                                   .withZone(zone)
                                   .withIncarnation(node.incarnation)
                                   .withRandomness(*node.randomness)
                                   .build());
    }
    if (!node.engine) {
        auto deliver = [this, name](EngineEvent event) {
            if (this->interceptors.fromEngine)
                this->interceptors.fromEngine(event);
            this->scheduleInProcess(
                name, engineDelay, [this, name, event] { this->deliverToAgent(name, FromEngine { event }); });
        };
        auto recordEvent = [this, name](const std::string& event, GenerationId id) {
            TranscriptLine line { {}, {}, {}, event, {} };
            if (id != GenerationId())
                line.fields.push_back({ "gen", this->formatter.generationAlias(id) });
            this->recordLine("engine@" + name, "", line);
        };
        node.engine = std::make_unique<FakeEngine>(this->scheduler, deliver, recordEvent);
    }
    this->tickAgent(name, node.epoch);
}

void SimulatedFleet::killProcess(const std::string& name)
{
    this->recordFault("kill", name);
    Process& process = this->process(name);
    process.alive = false;
    process.deferredTasks.clear();
    ++process.epoch;
    this->closeLinks(name, true);
}

void SimulatedFleet::pauseProcess(const std::string& name)
{
    this->recordFault("pause", name);
    this->process(name).paused = true;
}

void SimulatedFleet::resumeProcess(const std::string& name)
{
    this->recordFault("resume", name);
    Process& process = this->process(name);
    process.paused = false;
    auto deferredTasks = std::move(process.deferredTasks);
    process.deferredTasks.clear();
    for (const auto& task : deferredTasks)
        this->runInProcess(name, task);
}

void SimulatedFleet::stopProcess(const std::string& name)
{
    this->recordFault("stop", name);
    if (this->entries.contains(name))
        this->runInProcess(name, [this, name] { this->deliverToRouter(name, RouterStopRequested {}); });
    else
        this->runInProcess(name, [this, name] { this->deliverToAgent(name, AgentStopRequested {}); });
}

void SimulatedFleet::sendLeavingNotice(const std::string& name)
{
    this->recordFault("leaving-notice", name);
    this->runInProcess(name, [this, name] { this->deliverToAgent(name, LeavingNotice {}); });
}

void SimulatedFleet::tickEntry(const std::string& entry, std::uint64_t epoch)
{
    EntryNode& node = this->entries[entry];
    if (node.epoch != epoch)
        return;
    if (!node.paused) {
        this->deliverToController(entry, ControlTick {});
        this->deliverToRouter(entry, RouterTick {});
    }
    this->scheduler.scheduleAfter(entryTickPeriod, [this, entry, epoch] { this->tickEntry(entry, epoch); });
}

void SimulatedFleet::tickAgent(const std::string& agent, std::uint64_t epoch)
{
    AgentNode& node = this->agents[agent];
    if (node.epoch != epoch)
        return;
    if (!node.paused)
        this->deliverToAgent(agent, AgentTick {});
    const auto sinceStart = this->scheduler.elapsed();
    if (!this->isServiceAgent(agent) && sinceStart % engineReportPeriod < agentTickPeriod)
        node.engine->report();
    this->scheduler.scheduleAfter(agentTickPeriod, [this, agent, epoch] { this->tickAgent(agent, epoch); });
}

// Events and actions.

void SimulatedFleet::deliverToRouter(const std::string& entry, const RouterEvent& event)
{
    EntryNode& node = this->entries[entry];
    if (!node.alive)
        return;
    for (const auto& action : node.router->handle(event, this->scheduler.now()))
        this->execute(entry, action);
}

void SimulatedFleet::deliverToController(const std::string& entry, const ControlEvent& event)
{
    EntryNode& node = this->entries[entry];
    if (!node.alive)
        return;
    for (const auto& action : node.controller->handle(event, this->scheduler.now()))
        this->execute(entry, action);
}

void SimulatedFleet::deliverToAgent(const std::string& agent, const AgentEvent& event)
{
    AgentNode& node = this->agents[agent];
    if (!node.alive)
        return;
    const auto actions = this->isServiceAgent(agent) ? node.calls->handle(event, this->scheduler.now())
                                                     : node.admission->handle(event, this->scheduler.now());
    for (const auto& action : actions)
        this->execute(agent, action);
}

void SimulatedFleet::execute(const std::string& entry, const RouterAction& action)
{
    if (const auto* send = std::get_if<ToAgent>(&action))
        return this->sendToAgent(entry, *send);
    if (const auto* message = std::get_if<ToCaller>(&action))
        return this->deliverToCaller(message->request, message->message);
    if (const auto* open = std::get_if<OpenLink>(&action))
        return this->openLink(entry, open->endpoint.get());
    if (const auto* close = std::get_if<CloseLink>(&action)) {
        this->link(entry, close->endpoint.get()).up = false;
        return;
    }
    if (const auto* control = std::get_if<ToControl>(&action))
        return this->deliverToController(entry, PeerUpdate { control->endpoint, control->message });
    if (std::holds_alternative<RouterDrained>(action))
        this->recordLine(entry, "", TranscriptLine { {}, {}, {}, "drained", {} });
}

void SimulatedFleet::execute(const std::string& entry, const ControlAction& action)
{
    if (const auto* answer = std::get_if<ToAdmin>(&action))
        return this->recordLine(entry, this->operators[answer->admin], this->formatter.adminMessage(answer->message));
    if (const auto* operation = std::get_if<ControlToPlatform>(&action)) {
        return this->submitToPlatform(entry, operation->operation, [this, entry](const PlatformReply& reply) {
            this->deliverToController(entry, ControlPlatformReply { reply });
        });
    }
    if (const auto* sent = std::get_if<ToRouter>(&action)) {
        ToRouter changed = *sent;
        if (this->interceptors.toRouter)
            this->interceptors.toRouter(entry, changed);
        const ToRouter* forward = &changed;
        if (const auto* fleet = std::get_if<FleetChanged>(&forward->event))
            this->recordLine(entry, "",
                TranscriptLine {
                    {}, {}, {}, "in-force", { { "version", std::to_string(fleet->fleet.version.get()) } } });
        std::visit([&](const auto& event) { this->deliverToRouter(entry, event); }, forward->event);
    }
}

void SimulatedFleet::execute(const std::string& agent, const AgentAction& action)
{
    if (const auto* send = std::get_if<ToEntry>(&action))
        return this->sendToEntry(agent, *send);
    if (const auto* command = std::get_if<ToEngine>(&action)) {
        this->recordLine(agent, "engine@" + agent, this->formatter.engineCommand(command->command));
        this->scheduler.scheduleAfter(
            engineDelay, [this, agent, command = command->command] { this->agents[agent].engine->submit(command); });
        return;
    }
    if (const auto* forward = std::get_if<ToService>(&action))
        return this->runCall(agent, forward->forward);
    if (const auto* operation = std::get_if<ToPlatform>(&action)) {
        return this->submitToPlatform(agent, operation->operation,
            [this, agent](const PlatformReply& reply) { this->deliverToAgent(agent, FromPlatform { reply }); });
    }
    if (std::holds_alternative<AgentDrained>(action))
        this->recordLine(agent, "", TranscriptLine { {}, {}, {}, "drained", {} });
}

// Links.

void SimulatedFleet::openLink(const std::string& entry, const std::string& agent)
{
    Link& link = this->link(entry, agent);
    link.up = false;
    link.silent = false;
    const std::uint64_t connection = link.connection = this->nextConnection++;
    if (link.blocked)
        return;
    if (!this->process(agent).alive) {
        this->scheduleInProcess(entry, connectionRefusalDelay,
            [this, entry, agent] { this->deliverToRouter(entry, LinkDown { EndpointId(agent) }); });
        return;
    }
    this->scheduleInProcess(agent, linkDelay, [this, entry, agent, connection] {
        Link& opened = this->link(entry, agent);
        if (opened.connection != connection || opened.blocked)
            return;
        opened.up = true;
        this->deliverToAgent(agent, EntryLinkUp { EntryId(entry) });
        this->scheduleInProcess(entry, linkDelay, [this, entry, agent, connection] {
            if (this->link(entry, agent).connection != connection || !this->link(entry, agent).up)
                return;
            const EndpointId endpoint(agent);
            this->deliverToRouter(entry, LinkUp { endpoint });
            this->deliverToRouter(
                entry, FromAgent { endpoint, AgentHello { endpoint, this->agents[agent].incarnation } });
        });
    });
}

void SimulatedFleet::closeLinks(const std::string& name, bool notifyPeers)
{
    for (auto& [ends, link] : this->links) {
        if ((ends.first != name && ends.second != name) || !link.up)
            continue;
        link.up = false;
        if (!notifyPeers || link.silent || link.blocked)
            continue;
        const std::string entry = ends.first;
        const std::string agent = ends.second;
        if (entry == name)
            this->scheduleInProcess(agent, linkDelay,
                [this, entry, agent] { this->deliverToAgent(agent, EntryLinkDown { EntryId(entry) }); });
        else
            this->scheduleInProcess(entry, linkDelay,
                [this, entry, agent] { this->deliverToRouter(entry, LinkDown { EndpointId(agent) }); });
    }
}

void SimulatedFleet::silenceLink(const std::string& entry, const std::string& agent)
{
    this->recordFault("silence", entry + "-" + agent);
    this->link(entry, agent).silent = true;
}

void SimulatedFleet::cutLink(const std::string& entry, const std::string& agent)
{
    this->recordFault("cut", entry + "-" + agent);
    Link& link = this->link(entry, agent);
    if (!link.up)
        return;
    link.up = false;
    this->scheduleInProcess(
        agent, linkDelay, [this, entry, agent] { this->deliverToAgent(agent, EntryLinkDown { EntryId(entry) }); });
    this->scheduleInProcess(
        entry, linkDelay, [this, entry, agent] { this->deliverToRouter(entry, LinkDown { EndpointId(agent) }); });
}

void SimulatedFleet::blockLink(const std::string& entry, const std::string& agent)
{
    this->recordFault("block", entry + "-" + agent);
    this->link(entry, agent).blocked = true;
}

void SimulatedFleet::unblockLink(const std::string& entry, const std::string& agent)
{
    this->recordFault("unblock", entry + "-" + agent);
    Link& link = this->link(entry, agent);
    link.blocked = false;
    link.silent = true;
}

void SimulatedFleet::sendToAgent(const std::string& entry, const ToAgent& send)
{
    const std::string agent = send.endpoint.get();
    EntryMessage sent = send.message;
    if (this->interceptors.toAgent)
        this->interceptors.toAgent(sent);
    TranscriptLine line = this->formatter.entryMessage(sent);
    if (const auto* submit = std::get_if<SubmitGeneration>(&sent))
        line.originatingCaller = this->findOriginatingCaller(entry, submit->work.fingerprint);
    if (const auto* submit = std::get_if<SubmitCall>(&sent))
        line.originatingCaller = this->findOriginatingCaller(entry, submit->work.fingerprint);
    this->recordLine(entry, agent, line);
    this->transmit(entry, agent, agent, [this, entry, agent, message = std::move(sent)] {
        this->deliverToAgent(agent, FromEntry { EntryId(entry), message });
    });
}

void SimulatedFleet::sendToEntry(const std::string& agent, const ToEntry& send)
{
    const std::string entry = send.entry.get();
    AgentMessage sent = send.message;
    if (this->interceptors.toEntry)
        this->interceptors.toEntry(sent);
    TranscriptLine line = this->formatter.agentMessage(sent);
    AgentNode& node = this->agents[agent];
    if (const auto* report = std::get_if<LoadReport>(&sent)) {
        if (report->leaving != node.lastReport.leaving || report->cold != node.lastReport.cold)
            line = TranscriptLine { {}, {}, {}, "report",
                { { "leaving", report->leaving ? "yes" : "no" }, { "cold", report->cold ? "yes" : "no" } } };
        node.lastReport = *report;
    }
    this->recordLine(agent, entry, line);
    this->transmit(entry, agent, entry, [this, entry, agent, message = std::move(sent)] {
        this->deliverToRouter(entry, FromAgent { EndpointId(agent), message });
    });
}

void SimulatedFleet::transmit(
    const std::string& entry, const std::string& agent, const std::string& receiver, std::function<void()> receive)
{
    const Link& link = this->link(entry, agent);
    if (!link.up)
        return;
    const std::uint64_t epoch = this->process(receiver).epoch;
    this->scheduler.scheduleAfter(
        linkDelay, [this, entry, agent, receiver, epoch, connection = link.connection, receive = std::move(receive)] {
            const Link& current = this->link(entry, agent);
            const bool arrives = current.connection == connection && !current.silent && !current.blocked;
            if (arrives && this->process(receiver).epoch == epoch)
                this->runInProcess(receiver, receive);
        });
}

// Engine, service and platform.

void SimulatedFleet::killEngine(const std::string& agent) { this->agents[agent].engine->crash(); }

void SimulatedFleet::startEngine(const std::string& agent) { this->agents[agent].engine->start(); }

void SimulatedFleet::cutEngineStreams(const std::string& agent)
{
    this->recordFault("cut-streams", "engine@" + agent);
    this->agents[agent].engine->cutStreams();
}

void SimulatedFleet::freezeEngine(const std::string& agent)
{
    this->recordFault("freeze", "engine@" + agent);
    this->agents[agent].engine->freeze();
}

void SimulatedFleet::thawEngine(const std::string& agent)
{
    this->recordFault("thaw", "engine@" + agent);
    this->agents[agent].engine->thaw();
}

void SimulatedFleet::restartEngine(const std::string& agent) { this->agents[agent].engine->restart(); }

void SimulatedFleet::loseEngineCaches(const std::string& agent) { this->agents[agent].engine->loseCaches(); }

void SimulatedFleet::holdReports(const std::string& agent)
{
    this->recordFault("hold-reports", "engine@" + agent);
    this->agents[agent].engine->holdReports();
}

void SimulatedFleet::releaseReports(const std::string& agent)
{
    this->recordFault("release-reports", "engine@" + agent);
    this->agents[agent].engine->releaseReports();
}

void SimulatedFleet::loseServiceAnswers(const std::string& agent, bool lose)
{
    this->recordFault(lose ? "lose-answers" : "keep-answers", "service@" + agent);
    this->agents[agent].loseAnswers = lose;
}

void SimulatedFleet::runCall(const std::string& agent, const ServiceForward& forward)
{
    const unsigned run = ++this->agents[agent].callsRun;
    const std::string generation = this->formatter.generationAlias(forward.call);
    this->recordLine(agent, "service@" + agent,
        TranscriptLine { {}, {}, {}, "runs", { { "gen", generation }, { "key", forward.work.key.get() } } });
    if (this->agents[agent].loseAnswers) {
        this->scheduleInProcess(agent, serviceTime, [this, agent, call = forward.call] {
            this->deliverToAgent(agent, FromService { ServiceCallFailed { call, Executed::Unknown } });
        });
        return;
    }
    const std::string body = agent + "#" + std::to_string(run);
    this->scheduleInProcess(agent, serviceTime, [this, agent, call = forward.call, body] {
        this->deliverToAgent(agent, FromService { ServiceResponded { call, 201, {}, body } });
    });
}

void SimulatedFleet::setPlatform(FakePlatform::Mode mode)
{
    constexpr const char* names[] = { "up", "down", "lose-answers", "slow" };
    this->recordFault(names[static_cast<int>(mode)], "platform");
    this->fakePlatform.setMode(mode);
}

void SimulatedFleet::setLeavingInList(const std::string& instance, bool leaving)
{
    this->recordFault(leaving ? "listed-leaving" : "listed-live", instance);
    this->fakePlatform.setLeaving(instance, leaving);
}

void SimulatedFleet::submitToPlatform(
    const std::string& process, const PlatformOperation& operation, std::function<void(const PlatformReply&)> reply)
{
    const TranscriptLine request = this->formatter.platformRequest(operation.request);
    this->recordLine(process, "platform", request);
    const std::uint64_t epoch = this->process(process).epoch;
    this->fakePlatform.submit(operation, [this, process, epoch, operation, request, reply](PlatformReply answer) {
        if (this->process(process).epoch != epoch)
            return;
        if (this->interceptors.fromPlatform)
            this->interceptors.fromPlatform(operation.request, answer.result);
        if (!request.event.empty())
            this->recordLine("platform", process, this->formatter.platformResult(answer.result));
        this->runInProcess(process, [reply, answer] { reply(answer); });
    });
}

// Callers and operators.

CompletionWork SimulatedFleet::completionWork(const std::string& team, const std::string& prompt) const
{
    CompletionWork work;
    work.team = team.empty() ? defaultTeam : TeamId(team);
    work.model = ModelId("drafter");
    work.prompt = prompt;
    work.fingerprint = fingerprintOf(work.team.get() + prompt);
    return work;
}

std::string SimulatedFleet::findOriginatingCaller(const std::string& entry, Fingerprint fingerprint) const
{
    std::string found;
    for (const auto& [name, caller] : this->callers) {
        if (caller.entry != entry || caller.fingerprint != fingerprint || caller.ended)
            continue;
        if (!found.empty())
            return {};
        found = name;
    }
    return found;
}

std::string SimulatedFleet::findCaller(RequestId request) const
{
    for (const auto& [name, caller] : this->callers) {
        if (caller.request == request)
            return name;
    }
    return "nobody";
}

void SimulatedFleet::requestCompletion(const std::string& caller, const std::string& entry, const std::string& prompt,
    bool stream, OnEngineLoss onLoss, Milliseconds budget, const std::string& team)
{
    const RequestId request(this->nextRequest++);
    const CompletionRequest asked { request, this->completionWork(team, prompt), stream, onLoss, budget };
    this->callers[caller] = Caller { entry, request, asked.work.fingerprint, {}, 0, false, false };
    this->recordLine(caller, entry,
        TranscriptLine { {}, {}, {}, "asks", { { "stream", stream ? "yes" : "no" }, { "prompt", prompt } } });
    this->scheduleInProcess(entry, callerDelay, [this, entry, asked] { this->deliverToRouter(entry, asked); });
}

void SimulatedFleet::resumeStream(const std::string& caller, const std::string& earlier, const std::string& entry)
{
    const RequestId request(this->nextRequest++);
    const Caller from = this->callers[earlier];
    this->callers[caller] = Caller { entry, request, from.fingerprint, from.token, from.nextIndex, false, false };
    const StreamResumeRequest asked { request, defaultTeam, from.token, from.nextIndex, Seconds(60) };
    this->recordLine(caller, entry,
        TranscriptLine {
            {}, {}, {}, "resumes", { { "stream", earlier }, { "next", std::to_string(from.nextIndex) } } });
    this->scheduleInProcess(entry, callerDelay, [this, entry, asked] { this->deliverToRouter(entry, asked); });
}

void SimulatedFleet::callService(const std::string& caller, const std::string& entry, const std::string& path,
    const std::string& key, const std::string& body, Milliseconds budget)
{
    const RequestId request(this->nextRequest++);
    ServiceWork work;
    work.team = defaultTeam;
    work.service = ServiceId("registry");
    work.method = "POST";
    work.path = path;
    work.body = body;
    work.key = IdempotencyKey(key);
    work.atMostOnce = !key.empty();
    work.fingerprint = fingerprintOf(path + body);
    this->callers[caller] = Caller { entry, request, work.fingerprint, {}, 0, false, false };
    this->recordLine(caller, entry, TranscriptLine { {}, {}, {}, "calls", { { "path", path }, { "key", key } } });
    this->scheduleInProcess(entry, callerDelay,
        [this, entry, asked = ServiceCallRequest { request, work, budget }] { this->deliverToRouter(entry, asked); });
}

void SimulatedFleet::disconnectCaller(const std::string& caller)
{
    Caller& leaving = this->callers[caller];
    this->recordLine(caller, leaving.entry, TranscriptLine { {}, {}, {}, "leaves", {} });
    leaving.disconnected = true;
    this->scheduleInProcess(leaving.entry, callerDelay,
        [this, leaving] { this->deliverToRouter(leaving.entry, CallerDisconnected { leaving.request }); });
}

void SimulatedFleet::deliverToCaller(RequestId request, const CallerMessage& sent)
{
    CallerMessage message = sent;
    if (this->interceptors.toCaller)
        this->interceptors.toCaller(message);
    const std::string name = this->findCaller(request);
    this->recordLine(
        name == "nobody" ? "entry" : this->callers[name].entry, name, this->formatter.callerMessage(message));
    if (name == "nobody" || this->callers[name].disconnected)
        return;
    Caller& caller = this->callers[name];
    caller.ended = !std::holds_alternative<CallerRestart>(message) && !std::holds_alternative<CallerTokens>(message);
    if (const auto* restart = std::get_if<CallerRestart>(&message)) {
        caller.token = restart->token;
        caller.nextIndex = 0;
    }
    if (const auto* tokens = std::get_if<CallerTokens>(&message)) {
        caller.token = tokens->token;
        caller.nextIndex = tokens->firstIndex + static_cast<std::uint32_t>(tokens->texts.size());
        this->scheduleInProcess(
            caller.entry, callerDelay, [this, entry = caller.entry, request, next = caller.nextIndex] {
                this->deliverToRouter(entry, CallerConsumed { request, next });
            });
    }
}

void SimulatedFleet::giveOrder(
    const std::string& operatorName, const std::string& entry, const OrderSubject& subject, bool out)
{
    const AdminRequestId admin(this->nextRequest++);
    this->operators[admin] = operatorName;
    const std::string name = std::visit([](const auto& id) { return id.get(); }, subject);
    this->recordLine(
        operatorName, entry, TranscriptLine { {}, {}, {}, out ? "takes-out" : "brings-back", { { "subject", name } } });
    this->scheduleInProcess(
        entry, callerDelay, [this, entry, event = IssueOrder { admin, subject, out, operatorName, "drill" }] {
            this->deliverToController(entry, event);
        });
}

void SimulatedFleet::publishNote(const std::string& operatorName, const std::string& entry, const ReleaseNote& note)
{
    const AdminRequestId admin(this->nextRequest++);
    this->operators[admin] = operatorName;
    this->recordLine(operatorName, entry,
        TranscriptLine {
            {}, {}, {}, "publishes", { { "note", note.id.get() }, { "base", std::to_string(note.base.get()) } } });
    this->scheduleInProcess(entry, callerDelay,
        [this, entry, event = PublishNote { admin, note, false }] { this->deliverToController(entry, event); });
}

}
