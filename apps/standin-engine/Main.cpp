#include "emulator/host/CommandLine.h"
#include "emulator/host/EngineHost.h"
#include "emulator/host/ServeUntilTermination.h"

using namespace teaselfold;
namespace options = boost::program_options;

int main(int argc, char** argv)
{
    blockTerminationSignals();
    std::string listen;
    std::int64_t coldStartDuration = 0;
    std::int64_t restartDelay = 0;
    EngineSettings engine;
    EngineHostSettings host;
    options::options_description description("standin-engine: an emulated model engine");
    auto add = description.add_options();
    add("listen", options::value(&listen)->default_value("127.0.0.1:7200"), "listen address, IP:PORT");
    add("seed", options::value(&engine.seed)->default_value(1), "random seed for output lengths and incarnations");
    add("speed", options::value(&engine.speed)->default_value(1),
        "speed factor; the duration of a step is divided by it");
    add("blocks", options::value(&engine.blocks)->default_value(engine.blocks), "memory size in blocks");
    add("cache-blocks", options::value(&engine.cacheBlocks)->default_value(engine.cacheBlocks),
        "prefix cache size in blocks");
    add("max-batch", options::value(&engine.maxBatch)->default_value(engine.maxBatch),
        "maximum number of generations in one step");
    add("max-waiting", options::value(&engine.maxWaiting)->default_value(engine.maxWaiting),
        "maximum number of queued generations");
    add("cold-for", options::value(&coldStartDuration)->default_value(0),
        "duration of the cold start, in milliseconds of emulated time");
    add("cold-bearable", options::value(&engine.coldConcurrencyLimit)->default_value(engine.coldConcurrencyLimit),
        "maximum number of running and queued generations that a cold engine survives");
    add("checks-fencing", options::value(&engine.checksFencing)->default_value(true),
        "reject requests with an outdated fencing token");
    add("model", options::value(&engine.models)->multitoken()->composing(), "model loaded at startup; may be repeated");
    add("time-scale", options::value(&host.timeScale)->default_value(1),
        "factor by which emulated time runs faster than real time");
    add("revive-after", options::value(&restartDelay)->default_value(0),
        "milliseconds until a crashed engine restarts; 0 exits the process instead");
    int exitCode = 0;
    if (!readCommandLine(argc, argv, description, exitCode))
        return exitCode;
    if (engine.speed <= 0 || host.timeScale <= 0) {
        logLine(LogEvent { "bad_command_line", { { "expected", "positive speed and time-scale" } } });
        return 2;
    }
    host.restartDelay = Milliseconds(restartDelay);
    engine.coldStartDuration = Milliseconds(coldStartDuration);
    return serveUntilTermination(listen, [&](const Address& address) {
        host.listen = address;
        return std::make_unique<EngineHost>(host, engine);
    });
}
