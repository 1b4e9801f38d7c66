#include "emulator/load/LoadRun.h"

#include "core/common/HandlerTable.h"
#include "emulator/host/EmulatorHttpServer.h"
#include "emulator/host/LogLine.h"

#include <map>
#include <thread>

namespace teaselfold {

namespace {

    constexpr std::size_t recorderQueueCapacity = 65536;
    constexpr Seconds recorderTickPeriod { 1 };
    constexpr Milliseconds callTimeout { 10000 };
    /** Maximum age of the report that an engine returns. */
    constexpr Milliseconds maxEngineReportAge { 500 };

    struct EngineSample {
        std::uint64_t incarnation { 0 };
        EngineCounters counters;
    };

    std::map<std::string, EngineSample> readEngineCounters(const std::vector<std::string>& engineUrls)
    {
        std::map<std::string, EngineSample> readings;
        for (const std::string& engine : engineUrls) {
            const HttpCallResult response = callHttp(ScheduledCall { {}, "GET", engine + "/load", {} }, callTimeout);
            const auto report = parseObject(response.body);
            if (!report)
                continue;
            readings[engine] = { report->optValue<std::uint64_t>("incarnation", 0),
                { report->optValue<std::uint64_t>("preemptions", 0),
                    report->optValue<std::uint64_t>("prompt_tokens_reused", 0),
                    report->optValue<std::uint64_t>("prompt_tokens_computed", 0) } };
        }
        return readings;
    }

    void addCounterIncreases(const std::map<std::string, EngineSample>& before,
        const std::map<std::string, EngineSample>& after, LoadResult& result)
    {
        for (const auto& [engine, last] : after) {
            const auto first = before.find(engine);
            if (first == before.end() || first->second.incarnation != last.incarnation)
                continue;
            ++result.enginesRead;
            result.engineCounters.preemptions += last.counters.preemptions - first->second.counters.preemptions;
            result.engineCounters.promptTokensReused
                += last.counters.promptTokensReused - first->second.counters.promptTokensReused;
            result.engineCounters.promptTokensComputed
                += last.counters.promptTokensComputed - first->second.counters.promptTokensComputed;
        }
    }

    /** Blocks until a point in time. */
    void waitUntil(Instant until)
    {
        Ring<int> emptyRing(1);
        emptyRing.popUntil(until);
    }

    /** Passes the events of all clients to the recorder on the thread of the recorder duty. */
    class RecorderHandler : public DutyHandler<RecorderEvent> {
    public:
        explicit RecorderHandler(LoadRecorder& recorder)
            : recorder(recorder)
        {
        }

        void handle(const RecorderEvent& event, Instant) override
        {
            static const HandlerTable<RecorderHandler, void, RecorderEvent> table { &RecorderHandler::onSent,
                &RecorderHandler::onEndpoint, &RecorderHandler::onToken, &RecorderHandler::onRestarted,
                &RecorderHandler::onEnded };
            table.dispatch(*this, event);
        }

        void tick(Instant) override { }

    private:
        void onSent(const RequestSent& event)
        {
            this->recorder.recordSend(event.request, event.team, event.kind, event.at);
        }
        void onEndpoint(const EndpointIdentified& event)
        {
            this->recorder.recordEndpoint(event.request, event.endpoint);
        }
        void onToken(const TokenReceived& event)
        {
            this->recorder.recordToken(event.request, event.index, event.text, event.at);
        }
        void onRestarted(const AnswerRestarted& event) { this->recorder.recordRestart(event.request); }
        void onEnded(const AnswerEnded& event) { this->recorder.recordEnd(event.request, event.outcome, event.at); }

        LoadRecorder& recorder;
    };

    /** Starts and joins the threads of one run. */
    class LoadRun {
    public:
        LoadRun(const LoadSettings& settings, LoadResult& result)
            : settings(settings)
            , result(result)
            , handler(result.recorder)
            , recorderDuty("recorder", recorderQueueCapacity, recorderTickPeriod)
            , jobs(settings.clientThreads)
        {
        }

        void run()
        {
            this->recorderDuty.start(this->handler);
            for (std::size_t count = 0; count < this->settings.clientThreads; ++count)
                this->clients.emplace_back([this] { this->serveJobs(); });
            const Instant startTime = std::chrono::steady_clock::now();
            this->result.startTime = startTime;
            std::thread calls([this, startTime] { this->runSchedule(startTime); });
            this->enqueueArrivals(startTime);
            this->jobs.close();
            for (std::thread& client : this->clients)
                client.join();
            calls.join();
            this->recorderDuty.stop();
            this->result.recorder.closeOpenAnswers(std::chrono::steady_clock::now());
        }

    private:
        void serveJobs()
        {
            LoadClient client(this->settings.target, this->settings.workload.kinds, this->settings.workload.model,
                this->recorderDuty.ring());
            while (const auto job = this->jobs.popUntil(Instant::max()))
                client.run(*job);
        }

        void enqueueArrivals(Instant startTime)
        {
            std::uint64_t number = 0;
            for (Arrival& arrival : makeArrivals(this->settings.workload)) {
                const Instant due = startTime + arrival.at;
                waitUntil(due);
                ++number;
                const TeamId team = arrival.team;
                const std::uint32_t kind = arrival.kind;
                this->recorderDuty.ring().push(RequestSent { number, team, kind, due });
                if (this->jobs.tryPush(LoadJob { number, std::move(arrival), due }))
                    continue;
                ++this->result.unsent;
                this->recorderDuty.ring().push(AnswerEnded { number, AnswerOutcome::Refused, due });
            }
        }

        void runSchedule(Instant startTime)
        {
            for (const ScheduledCall& call : this->settings.schedule) {
                waitUntil(startTime + call.at);
                const HttpCallResult response = callHttp(call, callTimeout);
                this->result.calls.push_back({ call, response.status });
                logLine(LogEvent { "scheduled_call",
                    { { "method", call.method }, { "url", call.url },
                        { "status", std::to_string(response.status) } } });
            }
        }

        const LoadSettings& settings;
        LoadResult& result;
        RecorderHandler handler;
        Duty<RecorderEvent> recorderDuty;
        Ring<LoadJob> jobs;
        std::vector<std::thread> clients;
    };

}

LoadResult runLoad(const LoadSettings& settings)
{
    LoadResult result { LoadRecorder(settings.workload.kinds), settings.disturbedPrefix, {}, {}, 0, {}, 0 };
    const auto before = readEngineCounters(settings.engineUrls);
    LoadRun(settings, result).run();
    if (!settings.engineUrls.empty())
        waitUntil(std::chrono::steady_clock::now() + maxEngineReportAge);
    addCounterIncreases(before, readEngineCounters(settings.engineUrls), result);
    return result;
}

}
