#include "support/Session.h"

#include "core/common/FleetUpdate.h"

#include <xxhash.h>

namespace teaselfold::testing {

namespace {

    constexpr Milliseconds linkDelay { 1 };
    constexpr Milliseconds engineDelay { 1 };
    constexpr Milliseconds callerDelay { 1 };
    constexpr Milliseconds serviceTime { 20 };
    constexpr Milliseconds entryTick { 100 };
    constexpr Milliseconds agentTick { 100 };
    constexpr Milliseconds engineReportPeriod { 250 };
    constexpr Milliseconds refusedConnection { 2 };
    const TeamId defaultTeam("huye");

    Fingerprint fingerprintOf(const std::string& text) { return Fingerprint(XXH3_64bits(text.data(), text.size())); }

    ReleaseNote firstNote()
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

Session::Session(std::uint64_t seed)
    : seed(seed)
    , table(scheduler)
{
    this->table.submit(
        { OperationId(0), TableInsert { "release/00000000000000000001", this->codec.encodeNote(firstNote()) } },
        [](const PlatformReply&) {});
}

Session::Process& Session::process(const std::string& name)
{
    if (this->entries.contains(name))
        return this->entries[name];
    return this->agents[name];
}

void Session::inProcess(const std::string& name, std::function<void()> task)
{
    Process& process = this->process(name);
    if (!process.alive)
        return;
    if (process.paused)
        process.waiting.push_back(std::move(task));
    else
        task();
}

void Session::later(const std::string& name, Duration delay, std::function<void()> task)
{
    const std::uint64_t life = this->process(name).life;
    this->scheduler.after(delay, [this, name, life, task = std::move(task)] {
        if (this->process(name).life == life)
            this->inProcess(name, task);
    });
}

void Session::tell(const std::string& from, const std::string& to, Line line)
{
    if (line.what.empty())
        return;
    line.at = this->scheduler.elapsed();
    line.from = from;
    line.to = to;
    this->record.add(std::move(line));
}

void Session::note(const std::string& what, const std::string& subject)
{
    this->tell("fault", subject, Line { {}, {}, {}, what, {} });
}

bool Session::servesCalls(const std::string& agent) const { return agent.front() == 's'; }

// Lives of processes.

void Session::startEntry(const std::string& name)
{
    EntryNode& node = this->entries[name];
    this->note("start", name);
    node.alive = true;
    node.paused = false;
    ++node.life;
    node.randomness
        = std::make_unique<SeededRandomness>(this->seed ^ fingerprintOf(name + std::to_string(node.life)).get());
    const ZoneId zone(name == "x" ? "a" : "b");
    node.router = RouterBuilder().withSelf(EntryId(name)).withZone(zone).withRandomness(*node.randomness).build();
    node.keeper.emplace(ConfigurationControllerBuilder()
                            .withEntry(EntryId(name))
                            .withCodec(this->codec)
                            .withRandomness(*node.randomness)
                            .build());
    this->tickEntry(name, node.life);
}

void Session::startAgent(const std::string& name)
{
    AgentNode& node = this->agents[name];
    this->note("start", name);
    node.alive = true;
    node.paused = false;
    ++node.life;
    node.randomness
        = std::make_unique<SeededRandomness>(this->seed ^ fingerprintOf(name + std::to_string(node.life)).get());
    node.incarnation = Incarnation(node.randomness->next());
    const ZoneId zone(std::string(1, static_cast<char>('a' + (name[1] - '1'))));
    node.admission.reset();
    node.calls.reset();
    if (this->servesCalls(name)) {
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
            if (this->tampering.fromEngine)
                this->tampering.fromEngine(event);
            this->later(name, engineDelay, [this, name, event] { this->toAgent(name, FromEngine { event }); });
        };
        auto tell = [this, name](const std::string& what, GenerationId id) {
            Line line { {}, {}, {}, what, {} };
            if (id != GenerationId())
                line.fields.push_back({ "gen", this->describer.generation(id) });
            this->tell("engine@" + name, "", line);
        };
        node.engine = std::make_unique<FakeEngine>(this->scheduler, deliver, tell);
    }
    this->tickAgent(name, node.life);
}

void Session::kill(const std::string& name)
{
    this->note("kill", name);
    Process& process = this->process(name);
    process.alive = false;
    process.waiting.clear();
    ++process.life;
    this->dropLinks(name, true);
}

void Session::pause(const std::string& name)
{
    this->note("pause", name);
    this->process(name).paused = true;
}

void Session::resume(const std::string& name)
{
    this->note("resume", name);
    Process& process = this->process(name);
    process.paused = false;
    auto waiting = std::move(process.waiting);
    process.waiting.clear();
    for (const auto& task : waiting)
        this->inProcess(name, task);
}

void Session::stop(const std::string& name)
{
    this->note("stop", name);
    if (this->entries.contains(name))
        this->inProcess(name, [this, name] { this->toRouter(name, RouterStopRequested {}); });
    else
        this->inProcess(name, [this, name] { this->toAgent(name, AgentStopRequested {}); });
}

void Session::noticeLeaving(const std::string& name)
{
    this->note("leaving-notice", name);
    this->inProcess(name, [this, name] { this->toAgent(name, LeavingNotice {}); });
}

void Session::tickEntry(const std::string& entry, std::uint64_t life)
{
    EntryNode& node = this->entries[entry];
    if (node.life != life)
        return;
    if (!node.paused) {
        this->toKeeper(entry, ControlTick {});
        this->toRouter(entry, RouterTick {});
    }
    this->scheduler.after(entryTick, [this, entry, life] { this->tickEntry(entry, life); });
}

void Session::tickAgent(const std::string& agent, std::uint64_t life)
{
    AgentNode& node = this->agents[agent];
    if (node.life != life)
        return;
    if (!node.paused)
        this->toAgent(agent, AgentTick {});
    const auto sinceStart = this->scheduler.elapsed();
    if (!this->servesCalls(agent) && sinceStart % engineReportPeriod < agentTick)
        node.engine->report();
    this->scheduler.after(agentTick, [this, agent, life] { this->tickAgent(agent, life); });
}

// Events and actions.

void Session::toRouter(const std::string& entry, const RouterEvent& event)
{
    EntryNode& node = this->entries[entry];
    if (!node.alive)
        return;
    for (const auto& action : node.router->handle(event, this->scheduler.now()))
        this->carryOut(entry, action);
}

void Session::toKeeper(const std::string& entry, const ControlEvent& event)
{
    EntryNode& node = this->entries[entry];
    if (!node.alive)
        return;
    for (const auto& action : node.keeper->handle(event, this->scheduler.now()))
        this->carryOut(entry, action);
}

void Session::toAgent(const std::string& agent, const AgentEvent& event)
{
    AgentNode& node = this->agents[agent];
    if (!node.alive)
        return;
    const auto actions = this->servesCalls(agent) ? node.calls->handle(event, this->scheduler.now())
                                                  : node.admission->handle(event, this->scheduler.now());
    for (const auto& action : actions)
        this->carryOut(agent, action);
}

void Session::carryOut(const std::string& entry, const RouterAction& action)
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
        return this->toKeeper(entry, PeerUpdate { control->endpoint, control->message });
    if (std::holds_alternative<RouterDrained>(action))
        this->tell(entry, "", Line { {}, {}, {}, "drained", {} });
}

void Session::carryOut(const std::string& entry, const ControlAction& action)
{
    if (const auto* answer = std::get_if<ToAdmin>(&action))
        return this->tell(entry, this->operators[answer->admin], this->describer.adminMessage(answer->message));
    if (const auto* operation = std::get_if<ControlToPlatform>(&action)) {
        return this->submitToPlatform(entry, operation->operation,
            [this, entry](const PlatformReply& reply) { this->toKeeper(entry, ControlPlatformReply { reply }); });
    }
    if (const auto* sent = std::get_if<ToRouter>(&action)) {
        ToRouter changed = *sent;
        if (this->tampering.toRouter)
            this->tampering.toRouter(entry, changed);
        const ToRouter* forward = &changed;
        if (const auto* fleet = std::get_if<FleetChanged>(&forward->event))
            this->tell(entry, "",
                Line { {}, {}, {}, "in-force", { { "version", std::to_string(fleet->fleet.version.get()) } } });
        std::visit([&](const auto& event) { this->toRouter(entry, event); }, forward->event);
    }
}

void Session::carryOut(const std::string& agent, const AgentAction& action)
{
    if (const auto* send = std::get_if<ToEntry>(&action))
        return this->sendToEntry(agent, *send);
    if (const auto* command = std::get_if<ToEngine>(&action)) {
        this->tell(agent, "engine@" + agent, this->describer.engineCommand(command->command));
        this->scheduler.after(
            engineDelay, [this, agent, command = command->command] { this->agents[agent].engine->submit(command); });
        return;
    }
    if (const auto* forward = std::get_if<ToService>(&action))
        return this->runCall(agent, forward->forward);
    if (const auto* operation = std::get_if<ToPlatform>(&action)) {
        return this->submitToPlatform(agent, operation->operation,
            [this, agent](const PlatformReply& reply) { this->toAgent(agent, FromPlatform { reply }); });
    }
    if (std::holds_alternative<AgentDrained>(action))
        this->tell(agent, "", Line { {}, {}, {}, "drained", {} });
}

// Links.

void Session::openLink(const std::string& entry, const std::string& agent)
{
    Link& link = this->link(entry, agent);
    link.up = false;
    link.silent = false;
    const std::uint64_t connection = link.connection = this->nextConnection++;
    if (link.blocked)
        return;
    if (!this->process(agent).alive) {
        this->later(
            entry, refusedConnection, [this, entry, agent] { this->toRouter(entry, LinkDown { EndpointId(agent) }); });
        return;
    }
    this->later(agent, linkDelay, [this, entry, agent, connection] {
        Link& opened = this->link(entry, agent);
        if (opened.connection != connection || opened.blocked)
            return;
        opened.up = true;
        this->toAgent(agent, EntryLinkUp { EntryId(entry) });
        this->later(entry, linkDelay, [this, entry, agent, connection] {
            if (this->link(entry, agent).connection != connection || !this->link(entry, agent).up)
                return;
            const EndpointId endpoint(agent);
            this->toRouter(entry, LinkUp { endpoint });
            this->toRouter(entry, FromAgent { endpoint, AgentHello { endpoint, this->agents[agent].incarnation } });
        });
    });
}

void Session::dropLinks(const std::string& name, bool tellPeers)
{
    for (auto& [ends, link] : this->links) {
        if ((ends.first != name && ends.second != name) || !link.up)
            continue;
        link.up = false;
        if (!tellPeers || link.silent || link.blocked)
            continue;
        const std::string entry = ends.first;
        const std::string agent = ends.second;
        if (entry == name)
            this->later(
                agent, linkDelay, [this, entry, agent] { this->toAgent(agent, EntryLinkDown { EntryId(entry) }); });
        else
            this->later(
                entry, linkDelay, [this, entry, agent] { this->toRouter(entry, LinkDown { EndpointId(agent) }); });
    }
}

void Session::silence(const std::string& entry, const std::string& agent)
{
    this->note("silence", entry + "-" + agent);
    this->link(entry, agent).silent = true;
}

void Session::cut(const std::string& entry, const std::string& agent)
{
    this->note("cut", entry + "-" + agent);
    Link& link = this->link(entry, agent);
    if (!link.up)
        return;
    link.up = false;
    this->later(agent, linkDelay, [this, entry, agent] { this->toAgent(agent, EntryLinkDown { EntryId(entry) }); });
    this->later(entry, linkDelay, [this, entry, agent] { this->toRouter(entry, LinkDown { EndpointId(agent) }); });
}

void Session::block(const std::string& entry, const std::string& agent)
{
    this->note("block", entry + "-" + agent);
    this->link(entry, agent).blocked = true;
}

void Session::unblock(const std::string& entry, const std::string& agent)
{
    this->note("unblock", entry + "-" + agent);
    Link& link = this->link(entry, agent);
    link.blocked = false;
    link.silent = true;
}

void Session::sendToAgent(const std::string& entry, const ToAgent& send)
{
    const std::string agent = send.endpoint.get();
    EntryMessage sent = send.message;
    if (this->tampering.toAgent)
        this->tampering.toAgent(sent);
    Line line = this->describer.entryMessage(sent);
    if (const auto* submit = std::get_if<SubmitGeneration>(&sent))
        line.asker = this->askerOf(entry, submit->work.fingerprint);
    if (const auto* submit = std::get_if<SubmitCall>(&sent))
        line.asker = this->askerOf(entry, submit->work.fingerprint);
    this->tell(entry, agent, line);
    this->carry(entry, agent, agent, [this, entry, agent, message = std::move(sent)] {
        this->toAgent(agent, FromEntry { EntryId(entry), message });
    });
}

void Session::sendToEntry(const std::string& agent, const ToEntry& send)
{
    const std::string entry = send.entry.get();
    AgentMessage sent = send.message;
    if (this->tampering.toEntry)
        this->tampering.toEntry(sent);
    Line line = this->describer.agentMessage(sent);
    AgentNode& node = this->agents[agent];
    if (const auto* report = std::get_if<LoadReport>(&sent)) {
        if (report->leaving != node.lastReport.leaving || report->cold != node.lastReport.cold)
            line = Line { {}, {}, {}, "report",
                { { "leaving", report->leaving ? "yes" : "no" }, { "cold", report->cold ? "yes" : "no" } } };
        node.lastReport = *report;
    }
    this->tell(agent, entry, line);
    this->carry(entry, agent, entry, [this, entry, agent, message = std::move(sent)] {
        this->toRouter(entry, FromAgent { EndpointId(agent), message });
    });
}

void Session::carry(
    const std::string& entry, const std::string& agent, const std::string& receiver, std::function<void()> receive)
{
    const Link& link = this->link(entry, agent);
    if (!link.up)
        return;
    const std::uint64_t life = this->process(receiver).life;
    this->scheduler.after(
        linkDelay, [this, entry, agent, receiver, life, connection = link.connection, receive = std::move(receive)] {
            const Link& now = this->link(entry, agent);
            const bool arrives = now.connection == connection && !now.silent && !now.blocked;
            if (arrives && this->process(receiver).life == life)
                this->inProcess(receiver, receive);
        });
}

// Engine, service and platform.

void Session::killEngine(const std::string& agent) { this->agents[agent].engine->die(); }

void Session::startEngine(const std::string& agent) { this->agents[agent].engine->start(); }

void Session::cutEngine(const std::string& agent)
{
    this->note("cut-streams", "engine@" + agent);
    this->agents[agent].engine->cutStreams();
}

void Session::freezeEngine(const std::string& agent)
{
    this->note("freeze", "engine@" + agent);
    this->agents[agent].engine->freeze();
}

void Session::thawEngine(const std::string& agent)
{
    this->note("thaw", "engine@" + agent);
    this->agents[agent].engine->thaw();
}

void Session::restartEngine(const std::string& agent) { this->agents[agent].engine->restart(); }

void Session::turnEngineCold(const std::string& agent) { this->agents[agent].engine->turnCold(); }

void Session::holdReports(const std::string& agent)
{
    this->note("hold-reports", "engine@" + agent);
    this->agents[agent].engine->holdReports();
}

void Session::releaseReports(const std::string& agent)
{
    this->note("release-reports", "engine@" + agent);
    this->agents[agent].engine->releaseReports();
}

void Session::loseServiceAnswers(const std::string& agent, bool lose)
{
    this->note(lose ? "lose-answers" : "keep-answers", "service@" + agent);
    this->agents[agent].loseAnswers = lose;
}

void Session::runCall(const std::string& agent, const ServiceForward& forward)
{
    const unsigned run = ++this->agents[agent].callsRun;
    const std::string generation = this->describer.generation(forward.call);
    this->tell(agent, "service@" + agent,
        Line { {}, {}, {}, "runs", { { "gen", generation }, { "key", forward.work.key.get() } } });
    if (this->agents[agent].loseAnswers) {
        this->later(agent, serviceTime, [this, agent, call = forward.call] {
            this->toAgent(agent, FromService { ServiceCallFailed { call, Executed::Unknown } });
        });
        return;
    }
    const std::string body = agent + "#" + std::to_string(run);
    this->later(agent, serviceTime, [this, agent, call = forward.call, body] {
        this->toAgent(agent, FromService { ServiceResponded { call, 201, {}, body } });
    });
}

void Session::setPlatform(FakePlatform::Mode mode)
{
    constexpr const char* names[] = { "up", "down", "lose-answers", "slow" };
    this->note(names[static_cast<int>(mode)], "platform");
    this->table.setMode(mode);
}

void Session::setLeavingInList(const std::string& instance, bool leaving)
{
    this->note(leaving ? "listed-leaving" : "listed-live", instance);
    this->table.setLeaving(instance, leaving);
}

void Session::submitToPlatform(
    const std::string& process, const PlatformOperation& operation, std::function<void(const PlatformReply&)> reply)
{
    const Line request = this->describer.platformRequest(operation.request);
    this->tell(process, "platform", request);
    const std::uint64_t life = this->process(process).life;
    this->table.submit(operation, [this, process, life, operation, request, reply](PlatformReply answer) {
        if (this->process(process).life != life)
            return;
        if (this->tampering.fromPlatform)
            this->tampering.fromPlatform(operation.request, answer.result);
        if (!request.what.empty())
            this->tell("platform", process, this->describer.platformResult(answer.result));
        this->inProcess(process, [reply, answer] { reply(answer); });
    });
}

// Callers and operators.

CompletionWork Session::work(const std::string& team, const std::string& prompt) const
{
    CompletionWork work;
    work.team = team.empty() ? defaultTeam : TeamId(team);
    work.model = ModelId("drafter");
    work.prompt = prompt;
    work.fingerprint = fingerprintOf(work.team.get() + prompt);
    return work;
}

std::string Session::askerOf(const std::string& entry, Fingerprint fingerprint) const
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

std::string Session::callerOf(RequestId request) const
{
    for (const auto& [name, caller] : this->callers) {
        if (caller.request == request)
            return name;
    }
    return "nobody";
}

void Session::ask(const std::string& caller, const std::string& entry, const std::string& prompt, bool stream,
    OnEngineLoss onLoss, Milliseconds budget, const std::string& team)
{
    const RequestId request(this->nextRequest++);
    const CompletionRequest asked { request, this->work(team, prompt), stream, onLoss, budget };
    this->callers[caller] = Caller { entry, request, asked.work.fingerprint, {}, 0, false, false };
    this->tell(
        caller, entry, Line { {}, {}, {}, "asks", { { "stream", stream ? "yes" : "no" }, { "prompt", prompt } } });
    this->later(entry, callerDelay, [this, entry, asked] { this->toRouter(entry, asked); });
}

void Session::askAgain(const std::string& caller, const std::string& earlier, const std::string& entry)
{
    const RequestId request(this->nextRequest++);
    const Caller from = this->callers[earlier];
    this->callers[caller] = Caller { entry, request, from.fingerprint, from.token, from.next, false, false };
    const StreamResumeRequest asked { request, defaultTeam, from.token, from.next, Seconds(60) };
    this->tell(caller, entry,
        Line { {}, {}, {}, "resumes", { { "stream", earlier }, { "next", std::to_string(from.next) } } });
    this->later(entry, callerDelay, [this, entry, asked] { this->toRouter(entry, asked); });
}

void Session::call(const std::string& caller, const std::string& entry, const std::string& path, const std::string& key,
    const std::string& body, Milliseconds budget)
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
    this->tell(caller, entry, Line { {}, {}, {}, "calls", { { "path", path }, { "key", key } } });
    this->later(entry, callerDelay,
        [this, entry, asked = ServiceCallRequest { request, work, budget }] { this->toRouter(entry, asked); });
}

void Session::leave(const std::string& caller)
{
    Caller& leaving = this->callers[caller];
    this->tell(caller, leaving.entry, Line { {}, {}, {}, "leaves", {} });
    leaving.gone = true;
    this->later(leaving.entry, callerDelay,
        [this, leaving] { this->toRouter(leaving.entry, CallerDisconnected { leaving.request }); });
}

void Session::deliverToCaller(RequestId request, const CallerMessage& sent)
{
    CallerMessage message = sent;
    if (this->tampering.toCaller)
        this->tampering.toCaller(message);
    const std::string name = this->callerOf(request);
    this->tell(name == "nobody" ? "entry" : this->callers[name].entry, name, this->describer.callerMessage(message));
    if (name == "nobody" || this->callers[name].gone)
        return;
    Caller& caller = this->callers[name];
    caller.ended = !std::holds_alternative<CallerRestart>(message) && !std::holds_alternative<CallerTokens>(message);
    if (const auto* restart = std::get_if<CallerRestart>(&message)) {
        caller.token = restart->token;
        caller.next = 0;
    }
    if (const auto* tokens = std::get_if<CallerTokens>(&message)) {
        caller.token = tokens->token;
        caller.next = tokens->firstIndex + static_cast<std::uint32_t>(tokens->texts.size());
        this->later(caller.entry, callerDelay, [this, entry = caller.entry, request, next = caller.next] {
            this->toRouter(entry, CallerConsumed { request, next });
        });
    }
}

void Session::order(const std::string& operatorName, const std::string& entry, const OrderSubject& subject, bool out)
{
    const AdminRequestId admin(this->nextRequest++);
    this->operators[admin] = operatorName;
    const std::string name = std::visit([](const auto& id) { return id.get(); }, subject);
    this->tell(operatorName, entry, Line { {}, {}, {}, out ? "takes-out" : "brings-back", { { "subject", name } } });
    this->later(entry, callerDelay, [this, entry, event = IssueOrder { admin, subject, out, operatorName, "drill" }] {
        this->toKeeper(entry, event);
    });
}

void Session::publish(const std::string& operatorName, const std::string& entry, const ReleaseNote& note)
{
    const AdminRequestId admin(this->nextRequest++);
    this->operators[admin] = operatorName;
    this->tell(operatorName, entry,
        Line { {}, {}, {}, "publishes", { { "note", note.id.get() }, { "base", std::to_string(note.base.get()) } } });
    this->later(entry, callerDelay,
        [this, entry, event = PublishNote { admin, note, false }] { this->toKeeper(entry, event); });
}

}
