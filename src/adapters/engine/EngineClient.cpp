#include "adapters/engine/EngineClient.h"

#include "adapters/engine/EngineDocuments.h"
#include "adapters/engine/HttpConnection.h"
#include "adapters/net/BoundedResponse.h"
#include "core/common/Check.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <array>
#include <istream>

namespace teaselfold {

namespace {

    using Poco::Net::HTTPRequest;
    using Poco::Net::HTTPResponse;

    const std::string completionsPath = "/v1/completions";
    constexpr std::size_t controlCommandCapacity = 4096;
    /** Limit on consecutive lines of a stream that carry no event, such as comments. */
    constexpr std::size_t maxMeaninglessLines = 1000;
    constexpr std::size_t maxLineBytes = std::size_t { 64 } * 1024;
    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr int statusConflict = 409;
    /** Queue slots per stream thread for resumes, which are not subject to the limit of open streams. */
    constexpr std::size_t resumeJobsPerStream = 2;
    /** Time for the commands that are queued at a stop; a cancel that the engine misses costs it only a vain run. */
    constexpr Milliseconds queuedCommandsTime(300);

    /** @return the bytes that a stream may have, which grow with the tokens that its request asks for. */
    std::size_t maxStreamBytes(const std::variant<EngineStart, EngineResume>& command)
    {
        constexpr std::size_t overheadBytes = 65536;
        constexpr std::size_t maxTokenBytes = 4096;
        constexpr std::size_t maxBytes = std::size_t { 64 } * 1024 * 1024;
        const auto* start = std::get_if<EngineStart>(&command);
        const std::size_t tokens = start ? start->work.maxTokens : std::get<EngineResume>(command).maxTokens;
        return tokens == 0 ? maxBytes : std::min(overheadBytes + tokens * maxTokenBytes, maxBytes);
    }

    /** @return true if the status promises that a start was not executed; another error may follow a run. */
    bool isRefusal(int status)
    {
        constexpr int firstClientError = 400;
        constexpr int firstServerError = 500;
        constexpr int serviceUnavailable = 503;
        return (status >= firstClientError && status < firstServerError) || status == serviceUnavailable;
    }

    std::string streamPath(GenerationId generation)
    {
        return completionsPath + "/" + Internal::requestIdOf(generation);
    }

}

EngineClient::EngineClient(Options options)
    : options(std::move(options))
    , streamJobs(this->options.maxStreams * (1 + resumeJobsPerStream))
    , controlCommands(controlCommandCapacity)
    , pollTimer(1)
{
    for (std::size_t index = 0; index < this->options.maxStreams; ++index)
        this->threads.emplace_back([this] { this->runStreams(); });
    this->threads.emplace_back([this] { this->runControlCommands(); });
    this->threads.emplace_back([this] { this->runPolls(); });
}

void EngineClient::stop()
{
    this->streamJobs.close();
    this->controlCommands.close();
    this->pollTimer.close();
    this->registry.abortAll();
    this->pollCalls.cancelAll();
    this->commandsEnded.wait_for(queuedCommandsTime);
    this->commandCalls.cancelAll();
    for (std::thread& thread : this->threads) {
        if (thread.joinable())
            thread.join();
    }
}

bool EngineClient::submit(const EngineCommand& command)
{
    if (const auto* start = std::get_if<EngineStart>(&command))
        return this->submitStart(*start);
    if (const auto* resume = std::get_if<EngineResume>(&command))
        return this->submitResume(*resume);
    if (const auto* cancel = std::get_if<EngineCancel>(&command))
        return this->submitCancel(*cancel);
    return this->submitOrder(std::get<EngineOrder>(command));
}

bool EngineClient::submitStart(const EngineStart& command)
{
    if (this->openStreams.load() >= this->options.maxStreams)
        return false;
    return this->pushStream({ command, command.generation, this->registry.open(command.generation) });
}

bool EngineClient::submitResume(const EngineResume& command)
{
    return this->pushStream({ command, command.generation, this->registry.open(command.generation) });
}

bool EngineClient::pushStream(StreamJob job)
{
    this->openStreams += 1;
    const GenerationId generation = job.generation;
    if (this->streamJobs.tryPush(std::move(job)))
        return true;
    this->openStreams -= 1;
    this->registry.abort(generation);
    return false;
}

bool EngineClient::submitCancel(const EngineCancel& command)
{
    this->registry.abort(command.generation);
    return this->controlCommands.tryPush(command);
}

bool EngineClient::submitOrder(const EngineOrder& command) { return this->controlCommands.tryPush(command); }

void EngineClient::runStreams()
{
    while (const auto job = this->streamJobs.popUntil(Instant::max())) {
        if (!this->streamJobs.isClosed() && this->registry.isCurrent(job->generation, job->number))
            this->readStream(*job);
        this->registry.close(job->generation, job->number);
        this->openStreams -= 1;
    }
}

void EngineClient::emitIfCurrent(const StreamJob& job, const EngineEvent& event)
{
    if (this->registry.isCurrent(job.generation, job.number))
        this->options.sink(event);
}

void EngineClient::readStream(const StreamJob& job)
{
    const bool isStart = std::holds_alternative<EngineStart>(job.command);
    const BoundedSocket socket;
    if (!this->registry.attach(job.generation, job.number, socket))
        return;
    const auto session = Internal::openConnection(socket, this->options.address, this->options.timeout,
        this->options.timeout, { Instant::max(), maxStreamBytes(job.command) });
    if (!session) {
        // Without a connection nothing was sent, so the engine did not run the start.
        if (isStart)
            this->emitIfCurrent(job, EngineRefused { job.generation, "no connection" });
        else
            this->emitIfCurrent(job, EngineStreamLost { job.generation });
        return;
    }
    try {
        this->sendRequest(job, *session);
        this->receiveResponse(job, *session);
    } catch (const Poco::Exception&) {
        this->emitIfCurrent(job, EngineStreamLost { job.generation });
    }
    const bool current = this->registry.isCurrent(job.generation, job.number);
    this->registry.close(job.generation, job.number);
    // If a cancel aborted the stream, it may have reached the engine before the start did, so it is sent again.
    if (!current && isStart)
        this->cancelAtEngineIfAborted(job.generation);
}

void EngineClient::sendRequest(const StreamJob& job, BoundedSession& session) const
{
    const auto* start = std::get_if<EngineStart>(&job.command);
    std::string path = completionsPath;
    std::string body;
    if (start != nullptr)
        body = Internal::encodeStart(*start);
    else
        path = streamPath(job.generation) + "?from=" + std::to_string(std::get<EngineResume>(job.command).nextIndex);
    HTTPRequest request(start != nullptr ? HTTPRequest::HTTP_POST : HTTPRequest::HTTP_GET, path, HTTPRequest::HTTP_1_1);
    request.setHost(this->options.address.host, this->options.address.port);
    if (start != nullptr) {
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
    }
    std::ostream& out = session.sendRequest(request);
    out << body;
    out.flush();
}

void EngineClient::receiveResponse(const StreamJob& job, BoundedSession& session)
{
    HTTPResponse response;
    std::istream& stream = receiveHead(session, response);
    const int status = response.getStatus();
    if (status == statusOk) {
        this->receiveLines(job, stream);
        return;
    }
    if (std::holds_alternative<EngineStart>(job.command) && isRefusal(status))
        this->emitIfCurrent(job, EngineRefused { job.generation, "status " + std::to_string(status) });
    else if (status == statusNotFound)
        this->emitIfCurrent(job, EngineGenerationNotFound { job.generation });
    else
        this->emitIfCurrent(job, EngineStreamLost { job.generation });
}

void EngineClient::receiveLines(const StreamJob& job, std::istream& stream)
{
    std::vector<char> line(maxLineBytes);
    std::size_t meaninglessLines = 0;
    while (meaninglessLines < maxMeaninglessLines
        && stream.getline(line.data(), static_cast<std::streamsize>(line.size()))) {
        const auto decoded = Internal::decodeStreamLine(job.generation, line.data());
        if (!decoded) {
            ++meaninglessLines;
            continue;
        }
        meaninglessLines = 0;
        if (const auto* tokens = std::get_if<EngineTokens>(&*decoded)) {
            this->emitIfCurrent(job, *tokens);
            continue;
        }
        if (const auto* finished = std::get_if<EngineFinished>(&*decoded))
            this->emitIfCurrent(job, *finished);
        else
            this->emitIfCurrent(job, EngineStreamLost { job.generation });
        return;
    }
    this->emitIfCurrent(job, EngineStreamLost { job.generation });
}

void EngineClient::cancelAtEngineIfAborted(GenerationId generation)
{
    if (!this->registry.isOpen(generation))
        this->controlCommands.tryPush(EngineCancel { generation });
}

void EngineClient::runControlCommands()
{
    while (const auto command = this->controlCommands.popUntil(Instant::max())) {
        if (const auto* order = std::get_if<EngineOrder>(&*command)) {
            this->executeOrder(*order);
            continue;
        }
        const GenerationId generation = std::get<EngineCancel>(*command).generation;
        this->exchange(this->commandCalls, HTTPRequest::HTTP_DELETE, streamPath(generation), {});
    }
    this->commandsEnd.set_value();
}

Internal::HttpExchangeResult EngineClient::exchange(
    Internal::OpenCalls& calls, const std::string& method, const std::string& path, const std::string& body)
{
    const BoundedSocket socket;
    calls.add(socket);
    auto result = Internal::exchange(socket, this->options.address, this->options.timeout, method, path, body);
    calls.remove(socket);
    return result;
}

void EngineClient::executeOrder(const EngineOrder& order)
{
    const Internal::HttpExchangeResult result
        = this->exchange(this->commandCalls, HTTPRequest::HTTP_POST, "/orders", Internal::encodeOrder(order));
    const std::string message = result.received ? "status " + std::to_string(result.status) : "no answer";
    this->options.sink(
        EngineOrderResult { order, result.status == statusOk, message, result.status == statusConflict });
}

void EngineClient::runPolls()
{
    while (!this->pollTimer.isClosed()) {
        this->poll();
        this->pollTimer.popUntil(std::chrono::steady_clock::now() + this->options.pollInterval);
    }
}

void EngineClient::poll()
{
    const Internal::HttpExchangeResult load = this->exchange(this->pollCalls, HTTPRequest::HTTP_GET, "/load", {});
    const auto report = load.status == statusOk ? Internal::decodeReport(load.body) : std::nullopt;
    if (!report) {
        this->options.sink(EngineUnreachable {});
        return;
    }
    this->options.sink(*report);
    const Internal::HttpExchangeResult events = this->exchange(
        this->pollCalls, HTTPRequest::HTTP_GET, "/cache_events?after=" + std::to_string(this->cacheSequence), {});
    const auto cache = events.status == statusOk ? Internal::decodeCacheEvents(events.body) : std::nullopt;
    if (!cache)
        return;
    this->cacheSequence = cache->sequence;
    this->options.sink(*cache);
}

EngineClientBuilder& EngineClientBuilder::withAddress(Address value)
{
    this->options.address = std::move(value);
    return *this;
}

EngineClientBuilder& EngineClientBuilder::withTimeout(Milliseconds value)
{
    this->options.timeout = value;
    return *this;
}

EngineClientBuilder& EngineClientBuilder::withPollInterval(Milliseconds value)
{
    this->options.pollInterval = value;
    return *this;
}

EngineClientBuilder& EngineClientBuilder::withMaxStreams(std::size_t count)
{
    this->options.maxStreams = count;
    return *this;
}

EngineClientBuilder& EngineClientBuilder::withSink(EngineClient::Sink value)
{
    this->options.sink = std::move(value);
    return *this;
}

std::unique_ptr<EngineClient> EngineClientBuilder::build() const
{
    internalCheck(
        this->options.sink && this->options.maxStreams > 0, "an engine client needs a sink and at least one stream");
    return std::make_unique<EngineClient>(this->options);
}

}
