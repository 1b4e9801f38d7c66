#include "platform/StoreWatcher.h"
#include "runtime/BootClock.h"

#include <Poco/Net/ServerSocket.h>

#include <doctest/doctest.h>

#include <condition_variable>

using namespace teaselfold;

namespace {

/** A store that responds to calls with scripted bodies; an empty body closes the connection instead. */
class ScriptedStore {
public:
    explicit ScriptedStore(std::vector<std::string> responses)
        : responses(std::move(responses))
        , listener(Poco::Net::SocketAddress("127.0.0.1", 0))
        , thread([this] { this->serve(); })
    {
    }

    ~ScriptedStore() { this->thread.join(); }
    ScriptedStore(const ScriptedStore&) = delete;
    ScriptedStore& operator=(const ScriptedStore&) = delete;

    Address address() const { return { "127.0.0.1", this->listener.address().port() }; }

    /** Waits until the script is finished. @return the request lines of all calls. */
    std::vector<std::string> calls()
    {
        std::unique_lock lock(this->mutex);
        this->finished.wait(lock, [this] { return this->isFinished; });
        return this->receivedCalls;
    }

private:
    static std::string readCall(Poco::Net::StreamSocket& socket)
    {
        std::string call;
        char byte = 0;
        while (call.find("\r\n\r\n") == std::string::npos) {
            if (socket.receiveBytes(&byte, 1) <= 0)
                return {};
            call.push_back(byte);
        }
        return call.substr(0, call.find('\r'));
    }

    void serve()
    {
        std::size_t next = 0;
        while (next < this->responses.size()) {
            Poco::Net::StreamSocket socket = this->listener.acceptConnection();
            bool isOpen = true;
            while (isOpen && next < this->responses.size()) {
                const std::string call = readCall(socket);
                if (call.empty())
                    break;
                this->receivedCalls.push_back(call);
                const std::string body = this->responses[next++];
                isOpen = !body.empty();
                const std::string head
                    = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
                if (isOpen)
                    socket.sendBytes((head + body).data(), static_cast<int>(head.size() + body.size()));
            }
        }
        {
            const std::lock_guard lock(this->mutex);
            this->isFinished = true;
        }
        this->finished.notify_all();
    }

    std::vector<std::string> responses;
    std::vector<std::string> receivedCalls;
    Poco::Net::ServerSocket listener;
    std::mutex mutex;
    std::condition_variable finished;
    bool isFinished { false };
    std::thread thread;
};

}

TEST_CASE("The call after a failed one does not long-poll, so that the store's recovery is noticed at once")
{
    const std::string rows = R"({"rows":[],"rowVersion":5,"hasMore":false})";
    ScriptedStore store({ rows, rows, "", rows, rows });
    StoreWatcher::Options options;
    options.store = store.address();
    options.timeout = Milliseconds(30000);
    options.pollInterval = [] { return Milliseconds(1); };
    options.retryDelay = Milliseconds(1);
    StoreWatcher watcher(
        options, std::make_unique<OperatorTableTranslator>(), [](const GatewayEvent&) {}, &bootTimeNow);
    watcher.start();
    const auto calls = store.calls();
    watcher.stop();
    REQUIRE(calls.size() == 5);
    CHECK(calls[1].find("waitMs=1000") != std::string::npos);
    CHECK(calls[2].find("waitMs=1000") != std::string::npos);
    CHECK(calls[3].find("waitMs=0") != std::string::npos);
    CHECK(calls[4].find("waitMs=1000") != std::string::npos);
}
