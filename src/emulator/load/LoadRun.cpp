#include "emulator/load/LoadRun.h"

#include "core/common/HandlerTable.h"
#include "emulator/host/EmulatorHttpServer.h"
#include "emulator/host/LogLine.h"

#include <map>
#include <thread>

namespace teaselfold {

namespace {

    constexpr std::size_t recordCapacity = 65536;
    constexpr Seconds recordPeriod { 1 };
    constexpr Milliseconds callTimeout { 10000 };
    /** The engines' reports lag by this much at most. */
    constexpr Milliseconds reportLag { 500 };

    struct EngineReading {
        std::uint64_t incarnation { 0 };
        EngineCounts counts;
    };

    std::map<std::string, EngineReading> readEngines(const std::vector<std::string>& engines)
    {
        std::map<std::string, EngineReading> readings;
        for (const std::string& engine : engines) {
            const HttpAnswer answer = callHttp(ScheduledCall { {}, "GET", engine + "/load", {} }, callTimeout);
            const auto report = parseObject(answer.body);
            if (!report)
                continue;
            readings[engine] = { report->optValue<std::uint64_t>("incarnation", 0),
                { report->optValue<std::uint64_t>("preemptions", 0),
                    report->optValue<std::uint64_t>("prompt_tokens_reused", 0),
                    report->optValue<std::uint64_t>("prompt_tokens_computed", 0) } };
        }
        return readings;
    }

    void compareEngines(const std::map<std::string, EngineReading>& before,
        const std::map<std::string, EngineReading>& after, LoadResult& result)
    {
        for (const auto& [engine, last] : after) {
            const auto first = before.find(engine);
            if (first == before.end() || first->second.incarnation != last.incarnation)
                continue;
            ++result.enginesRead;
            result.engines.preemptions += last.counts.preemptions - first->second.counts.preemptions;
            result.engines.promptReused += last.counts.promptReused - first->second.counts.promptReused;
            result.engines.promptComputed += last.counts.promptComputed - first->second.counts.promptComputed;
        }
    }

    /** Waits until a point in time without a spin. */
    void waitUntil(Instant until)
    {
        Ring<int> never(1);
        never.popUntil(until);
    }

    /** The recording duty. */
    class RecordHandler : public DutyHandler<RecordEvent> {
    public:
        explicit RecordHandler(LoadRecorder& record)
            : record(record)
        {
        }

        void handle(const RecordEvent& event, Instant) override
        {
            static const HandlerTable<RecordHandler, void, RecordEvent> table { &RecordHandler::onSent,
                &RecordHandler::onEndpoint, &RecordHandler::onToken, &RecordHandler::onRestarted,
                &RecordHandler::onEnded };
            table.dispatch(*this, event);
        }

        void tick(Instant) override { }

    private:
        void onSent(const RequestSent& event) { this->record.sent(event.request, event.team, event.kind, event.at); }
        void onEndpoint(const EndpointSeen& event) { this->record.cameFrom(event.request, event.endpoint); }
        void onToken(const TokenSeen& event) { this->record.token(event.request, event.index, event.text, event.at); }
        void onRestarted(const AnswerRestarted& event) { this->record.restarted(event.request); }
        void onEnded(const AnswerEnded& event) { this->record.ended(event.request, event.end, event.at); }

        LoadRecorder& record;
    };

    /** Threads of one run. */
    class LoadRun {
    public:
        LoadRun(const LoadSettings& settings, LoadResult& result)
            : settings(settings)
            , result(result)
            , handler(result.record)
            , recording("recorder", recordCapacity, recordPeriod)
            , jobs(settings.clientThreads)
        {
        }

        void run()
        {
            this->recording.start(this->handler);
            for (std::size_t count = 0; count < this->settings.clientThreads; ++count)
                this->clients.emplace_back([this] { this->serveJobs(); });
            const Instant begin = std::chrono::steady_clock::now();
            this->result.begun = begin;
            std::thread calls([this, begin] { this->makeCalls(begin); });
            this->paceArrivals(begin);
            this->jobs.close();
            for (std::thread& client : this->clients)
                client.join();
            calls.join();
            this->recording.stop();
            this->result.record.close(std::chrono::steady_clock::now());
        }

    private:
        void serveJobs()
        {
            LoadClient client(this->settings.target, this->settings.workload.kinds, this->settings.workload.model,
                this->recording.ring());
            while (const auto job = this->jobs.popUntil(Instant::max()))
                client.run(*job);
        }

        void paceArrivals(Instant begin)
        {
            std::uint64_t number = 0;
            for (Arrival& arrival : makeArrivals(this->settings.workload)) {
                const Instant due = begin + arrival.at;
                waitUntil(due);
                ++number;
                const TeamId team = arrival.team;
                const std::uint32_t kind = arrival.kind;
                this->recording.ring().push(RequestSent { number, team, kind, due });
                if (this->jobs.tryPush(LoadJob { number, std::move(arrival), due }))
                    continue;
                ++this->result.unsent;
                this->recording.ring().push(AnswerEnded { number, AnswerEnd::Refused, due });
            }
        }

        void makeCalls(Instant begin)
        {
            for (const ScheduledCall& call : this->settings.schedule) {
                waitUntil(begin + call.at);
                const HttpAnswer answer = callHttp(call, callTimeout);
                this->result.calls.push_back({ call, answer.status });
                logLine(LogEvent { "scheduled_call",
                    { { "method", call.method }, { "url", call.url }, { "status", std::to_string(answer.status) } } });
            }
        }

        const LoadSettings& settings;
        LoadResult& result;
        RecordHandler handler;
        Duty<RecordEvent> recording;
        Ring<LoadJob> jobs;
        std::vector<std::thread> clients;
    };

}

LoadResult runLoad(const LoadSettings& settings)
{
    LoadResult result { LoadRecorder(settings.workload.kinds), settings.disturbed, {}, {}, 0, {}, 0 };
    const auto before = readEngines(settings.engines);
    LoadRun(settings, result).run();
    if (!settings.engines.empty())
        waitUntil(std::chrono::steady_clock::now() + reportLag);
    compareEngines(before, readEngines(settings.engines), result);
    return result;
}

}
