#include "emulator/host/CommandLine.h"
#include "emulator/host/ServeUntilTermination.h"
#include "emulator/host/ServiceHost.h"

using namespace teaselfold;
namespace options = boost::program_options;

int main(int argc, char** argv)
{
    blockTerminationSignals();
    std::string listen;
    std::int64_t delay = 0;
    options::options_description description("standin-service: a plain service that counts the requests it ran");
    auto add = description.add_options();
    add("listen", options::value(&listen)->default_value("127.0.0.1:7250"), "listen address, IP:PORT");
    add("delay", options::value(&delay)->default_value(0), "processing time of a request, in milliseconds");
    int exitCode = 0;
    if (!readCommandLine(argc, argv, description, exitCode))
        return exitCode;
    return serveUntilTermination(
        listen, [&](const Address& address) { return std::make_unique<ServiceHost>(address, Milliseconds(delay)); });
}
