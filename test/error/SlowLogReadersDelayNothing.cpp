#include "adapters/logging/GlogLog.h"
#include "adapters/metrics/TelemetryHub.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <future>
#include <thread>

using namespace teaselfold;

namespace {

/** A pipe whose reader reads only when it is told to. */
class Pipe {
public:
    Pipe() { REQUIRE(pipe(this->ends.data()) == 0); }
    ~Pipe()
    {
        close(this->ends[0]);
        close(this->ends[1]);
    }
    Pipe(const Pipe&) = delete;
    Pipe& operator=(const Pipe&) = delete;

    int writeEnd() const { return this->ends[1]; }
    /** @return what is in the pipe now, at most a few kilobytes. */
    std::string readSome()
    {
        std::array<char, 8192> bytes {};
        const ssize_t count = read(this->ends[0], bytes.data(), bytes.size());
        return { bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)) };
    }

private:
    std::array<int, 2> ends {};
};

/** Writes log lines to a pipe. */
class PipeLog final : public LogOutput {
public:
    explicit PipeLog(const Pipe& pipe)
        : lines(pipe.writeEnd())
    {
    }

    bool write(const LogEvent& event) override { return this->lines.write(formatLogLine(event) + "\n"); }
    void limitWaits(Instant until) override { this->lines.limitWaits(until); }

private:
    LineWriter lines;
};

/** More than a pipe holds. */
constexpr int manyLines = 4000;

void logMany(TelemetryHub& hub)
{
    for (int line = 0; line < manyLines; ++line)
        hub.log({ "line", { { "number", std::to_string(line) }, { "text", std::string(40, 'x') } } });
}

}

// Guards against processes that are killed at each stop because nobody reads their log.
TEST_CASE("A log that nobody reads delays the stop by a moment only")
{
    Pipe pipe;
    auto hub = TelemetryHubBuilder().withLogOutput(std::make_unique<PipeLog>(pipe)).build();
    hub->start();
    logMany(*hub);
    auto stopped = std::async(std::launch::async, [&] { hub->stop(); });
    CHECK(stopped.wait_for(Milliseconds(1000)) == std::future_status::ready);
    while (stopped.wait_for(Milliseconds(0)) != std::future_status::ready)
        pipe.readSome();
}

// Guards against metrics that stand still for as long as nobody reads the log.
TEST_CASE("A log that nobody reads does not hold the metrics up")
{
    Pipe pipe;
    auto hub = TelemetryHubBuilder().withLogOutput(std::make_unique<PipeLog>(pipe)).build();
    hub->start();
    logMany(*hub);
    hub->observe({ Metric::Completed, TeamId("huye"), PriorityClass::Interactive, 1, "" });
    bool isCounted = false;
    const Instant end = std::chrono::steady_clock::now() + Seconds(5);
    while (!isCounted && std::chrono::steady_clock::now() < end)
        isCounted = hub->renderPrometheus().find("teaselfold_completed_total{") != std::string::npos;
    CHECK(isCounted);
}

// Guards against lines that are lost or torn although their reader, a slow one, takes them in the end.
TEST_CASE("A slow reader of the log gets every line that the ring holds")
{
    Pipe pipe;
    LineWriter lines(pipe.writeEnd());
    const std::string line = std::string(9999, 'x') + "\n";
    auto written = std::async(std::launch::async, [&] {
        int whole = 0;
        for (int number = 0; number < 50; ++number)
            whole += lines.write(line) ? 1 : 0;
        return whole;
    });
    std::string received;
    while (received.size() < 50 * line.size())
        received += pipe.readSome();
    CHECK(written.get() == 50);
    CHECK(received.substr(49 * line.size()) == line);
}

// Guards against lines whose absence nothing in the log tells.
TEST_CASE("The log tells how many lines a slow reader has lost")
{
    Pipe pipe;
    auto hub = TelemetryHubBuilder().withLogOutput(std::make_unique<PipeLog>(pipe)).build();
    hub->start();
    constexpr int lines = 30000;
    for (int line = 0; line < lines; ++line)
        hub->log({ "line", {} });
    std::string received;
    const Instant end = std::chrono::steady_clock::now() + Seconds(10);
    while (received.find("event=log_lines_lost") == std::string::npos && std::chrono::steady_clock::now() < end) {
        received += pipe.readSome();
        // A line that fits the ring again is written after the report.
        hub->log({ "line", {} });
    }
    CHECK(received.find("event=log_lines_lost count=") != std::string::npos);
    CHECK(hub->renderPrometheus().find("teaselfold_log_lines_lost_total 0\n") == std::string::npos);
    auto stopped = std::async(std::launch::async, [&] { hub->stop(); });
    CHECK(stopped.wait_for(Seconds(2)) == std::future_status::ready);
}

// Guards against the last lines of a stop, which nobody gets although the reader takes every line at once.
TEST_CASE("A line that the reader takes at once is written after the limit for waits too")
{
    Pipe pipe;
    LineWriter lines(pipe.writeEnd());
    lines.limitWaits(std::chrono::steady_clock::now() - Milliseconds(1));
    REQUIRE(lines.write("event=stopped\n"));
    CHECK(pipe.readSome() == "event=stopped\n");
}

// Guards against a log that blocks its process because another process of the same pipe has taken the free space.
TEST_CASE("Processes that share the pipe of their logs do not block each other beyond the limit for waits")
{
    Pipe pipe;
    constexpr int writers = 8;
    std::vector<std::unique_ptr<LineWriter>> logs;
    std::vector<std::future<void>> ends;
    for (int writer = 0; writer < writers; ++writer)
        logs.push_back(std::make_unique<LineWriter>(pipe.writeEnd()));
    for (const auto& log : logs) {
        ends.push_back(std::async(std::launch::async, [&log] {
            while (log->write(std::string(3999, 'x') + "\n")) { }
        }));
    }
    for (int reads = 0; reads < 200; ++reads) {
        pipe.readSome();
        std::this_thread::sleep_for(Milliseconds(1));
    }
    for (const auto& log : logs)
        log->limitWaits(std::chrono::steady_clock::now());
    const Instant end = std::chrono::steady_clock::now() + Seconds(2);
    int blocked = 0;
    for (auto& ended : ends)
        blocked += ended.wait_until(end) == std::future_status::ready ? 0 : 1;
    CHECK(blocked == 0);
    for (auto& ended : ends) {
        while (ended.wait_for(Milliseconds(1)) != std::future_status::ready)
            pipe.readSome();
    }
}
