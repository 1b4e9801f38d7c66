#include "adapters/engine/EngineClient.h"

#include "adapters/engine/EngineDocuments.h"
#include "adapters/engine/HttpConnection.h"
#include "core/common/Check.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <array>
#include <istream>

namespace teaselfold {

namespace {

    using Poco::Net::HTTPClientSession;
    using Poco::Net::HTTPRequest;
    using Poco::Net::HTTPResponse;

    const std::string completionsPath = "/v1/completions";
    constexpr std::size_t errandCapacity = 4096;
    constexpr std::size_t lineBytes = std::size_t { 64 } * 1024;
    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr int statusConflict = 409;
    constexpr std::size_t resumeShare = 2;

    std::string streamPath(GenerationId generation)
    {
        return completionsPath + "/" + Internal::requestIdOf(generation);
    }

}

EngineClient::EngineClient(Parts given)
    : parts(std::move(given))
    , streamJobs(this->parts.streams * (1 + resumeShare))
    , errands(errandCapacity)
    , pollTimer(1)
{
    for (std::size_t index = 0; index < this->parts.streams; ++index)
        this->threads.emplace_back([this] { this->runStreams(); });
    this->threads.emplace_back([this] { this->runErrands(); });
    this->threads.emplace_back([this] { this->runPolls(); });
}

void EngineClient::stop()
{
    this->streamJobs.close();
    this->errands.close();
    this->pollTimer.close();
    this->registry.cutAll();
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
    if (this->openStreams.load() >= this->parts.streams)
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
    this->registry.cut(generation);
    return false;
}

bool EngineClient::submitCancel(const EngineCancel& command)
{
    this->registry.cut(command.generation);
    return this->errands.tryPush(command);
}

bool EngineClient::submitOrder(const EngineOrder& command) { return this->errands.tryPush(command); }

void EngineClient::runStreams()
{
    while (const auto job = this->streamJobs.popUntil(Instant::max())) {
        if (!this->streamJobs.isClosed() && this->registry.isCurrent(job->generation, job->number))
            this->readStream(*job);
        this->registry.close(job->generation, job->number);
        this->openStreams -= 1;
    }
}

void EngineClient::emit(const StreamJob& job, const EngineEvent& event)
{
    if (this->registry.isCurrent(job.generation, job.number))
        this->parts.sink(event);
}

void EngineClient::readStream(const StreamJob& job)
{
    const bool isStart = std::holds_alternative<EngineStart>(job.command);
    const auto session = Internal::openConnection(this->parts.address, this->parts.timeout, this->parts.timeout);
    if (!session) {
        // Without a connection nothing was sent, so a start did not run.
        if (isStart)
            this->emit(job, EngineRefused { job.generation, "no connection" });
        else
            this->emit(job, EngineStreamLost { job.generation });
        return;
    }
    if (!this->registry.attach(job.generation, job.number, *session))
        return;
    try {
        this->request(job, *session);
        this->receive(job, *session);
    } catch (const Poco::Exception&) {
        this->emit(job, EngineStreamLost { job.generation });
    }
    const bool current = this->registry.isCurrent(job.generation, job.number);
    this->registry.close(job.generation, job.number);
    // The cancel may have overtaken the start on its way.
    if (!current && isStart)
        this->cancelAtEngineIfCut(job.generation);
}

void EngineClient::request(const StreamJob& job, HTTPClientSession& session) const
{
    const auto* start = std::get_if<EngineStart>(&job.command);
    std::string path = completionsPath;
    std::string body;
    if (start != nullptr)
        body = Internal::encodeStart(*start);
    else
        path = streamPath(job.generation) + "?from=" + std::to_string(std::get<EngineResume>(job.command).nextIndex);
    HTTPRequest request(start != nullptr ? HTTPRequest::HTTP_POST : HTTPRequest::HTTP_GET, path, HTTPRequest::HTTP_1_1);
    request.setHost(this->parts.address.host, this->parts.address.port);
    if (start != nullptr) {
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
    }
    std::ostream& out = session.sendRequest(request);
    out << body;
    out.flush();
}

void EngineClient::receive(const StreamJob& job, HTTPClientSession& session)
{
    HTTPResponse response;
    std::istream& stream = session.receiveResponse(response);
    const int status = response.getStatus();
    if (status == statusOk) {
        this->receiveLines(job, stream);
        return;
    }
    if (std::holds_alternative<EngineStart>(job.command))
        this->emit(job, EngineRefused { job.generation, "status " + std::to_string(status) });
    else if (status == statusNotFound)
        this->emit(job, EngineGenerationNotFound { job.generation });
    else
        this->emit(job, EngineStreamLost { job.generation });
}

void EngineClient::receiveLines(const StreamJob& job, std::istream& stream)
{
    std::vector<char> line(lineBytes);
    while (stream.getline(line.data(), static_cast<std::streamsize>(line.size()))) {
        const auto decoded = Internal::decodeStreamLine(job.generation, line.data());
        if (!decoded)
            continue;
        if (const auto* tokens = std::get_if<EngineTokens>(&*decoded)) {
            this->emit(job, *tokens);
            continue;
        }
        if (const auto* finished = std::get_if<EngineFinished>(&*decoded))
            this->emit(job, *finished);
        else
            this->emit(job, EngineStreamLost { job.generation });
        return;
    }
    this->emit(job, EngineStreamLost { job.generation });
}

void EngineClient::cancelAtEngineIfCut(GenerationId generation)
{
    if (!this->registry.isOpen(generation))
        this->errands.tryPush(EngineCancel { generation });
}

void EngineClient::runErrands()
{
    while (const auto errand = this->errands.popUntil(Instant::max())) {
        if (const auto* order = std::get_if<EngineOrder>(&*errand)) {
            this->carryOut(*order);
            continue;
        }
        const GenerationId generation = std::get<EngineCancel>(*errand).generation;
        Internal::exchange(
            this->parts.address, this->parts.timeout, HTTPRequest::HTTP_DELETE, streamPath(generation), {});
    }
}

void EngineClient::carryOut(const EngineOrder& order)
{
    const Internal::HttpAnswer answer = Internal::exchange(
        this->parts.address, this->parts.timeout, HTTPRequest::HTTP_POST, "/orders", Internal::encodeOrder(order));
    const std::string message = answer.whole ? "status " + std::to_string(answer.status) : "no answer";
    this->parts.sink(EngineOrderResult { order, answer.status == statusOk, message, answer.status == statusConflict });
}

void EngineClient::runPolls()
{
    while (!this->pollTimer.isClosed()) {
        this->poll();
        this->pollTimer.popUntil(std::chrono::steady_clock::now() + this->parts.pollInterval);
    }
}

void EngineClient::poll()
{
    const Internal::HttpAnswer load
        = Internal::exchange(this->parts.address, this->parts.timeout, HTTPRequest::HTTP_GET, "/load", {});
    const auto report = load.status == statusOk ? Internal::decodeReport(load.body) : std::nullopt;
    if (!report) {
        this->parts.sink(EngineUnreachable {});
        return;
    }
    this->parts.sink(*report);
    const Internal::HttpAnswer events = Internal::exchange(this->parts.address, this->parts.timeout,
        HTTPRequest::HTTP_GET, "/cache_events?after=" + std::to_string(this->cacheSequence), {});
    const auto cache = events.status == statusOk ? Internal::decodeCacheEvents(events.body) : std::nullopt;
    if (!cache)
        return;
    this->cacheSequence = cache->sequence;
    this->parts.sink(*cache);
}

EngineClientBuilder& EngineClientBuilder::withAddress(Address value)
{
    this->parts.address = std::move(value);
    return *this;
}

EngineClientBuilder& EngineClientBuilder::withTimeout(Milliseconds value)
{
    this->parts.timeout = value;
    return *this;
}

EngineClientBuilder& EngineClientBuilder::withPollInterval(Milliseconds value)
{
    this->parts.pollInterval = value;
    return *this;
}

EngineClientBuilder& EngineClientBuilder::withStreams(std::size_t count)
{
    this->parts.streams = count;
    return *this;
}

EngineClientBuilder& EngineClientBuilder::withSink(EngineClient::Sink value)
{
    this->parts.sink = std::move(value);
    return *this;
}

std::unique_ptr<EngineClient> EngineClientBuilder::build() const
{
    internalCheck(this->parts.sink && this->parts.streams > 0, "an engine client has a sink and a stream");
    return std::make_unique<EngineClient>(this->parts);
}

}
