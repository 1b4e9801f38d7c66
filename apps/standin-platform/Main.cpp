#include "emulator/host/CommandLine.h"
#include "emulator/host/PlatformHost.h"
#include "emulator/host/ServeUntilTermination.h"

using namespace teaselfold;
namespace options = boost::program_options;

int main(int argc, char** argv)
{
    blockTerminationSignals();
    std::string listen;
    std::int64_t instanceListLag = 0;
    PlatformSettings settings;
    options::options_description description("standin-platform: in-memory table, object store and instance list");
    auto add = description.add_options();
    add("listen", options::value(&listen)->default_value("127.0.0.1:7300"), "listen address, IP:PORT");
    add("writes-per-second", options::value(&settings.writesPerSecond)->default_value(500), "write rate limit");
    add("reads-per-second", options::value(&settings.readsPerSecond)->default_value(2000), "read rate limit");
    add("list-lag", options::value(&instanceListLag)->default_value(1000),
        "staleness of the instance list, in milliseconds");
    int exitCode = 0;
    if (!readCommandLine(argc, argv, description, exitCode))
        return exitCode;
    settings.instanceListLag = Milliseconds(instanceListLag);
    return serveUntilTermination(
        listen, [&](const Address& address) { return std::make_unique<PlatformHost>(address, settings); });
}
