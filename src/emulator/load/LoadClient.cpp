#include "emulator/load/LoadClient.h"

#include "emulator/host/EmulatorHttpServer.h"
#include "emulator/host/LogLine.h"
#include "emulator/load/EventStream.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace teaselfold {

namespace {

    /** Connection attempts for each request; each attempt uses the next entry. */
    constexpr std::size_t maxAttempts = 4;
    constexpr int okStatus = 200;
    constexpr std::array priorityNames { "interactive", "standard", "batch" };

    void setTimeout(Poco::Net::HTTPClientSession& session, Milliseconds timeout)
    {
        session.setTimeout(Poco::Timespan(std::chrono::duration_cast<Microseconds>(timeout).count()));
    }

    /** @return the field `run` of an error body ("no", "unknown" or "yes"); "unknown" if it is missing. */
    std::string runStatus(const std::string& body)
    {
        const auto object = parseObject(body);
        const auto error = object ? object->getObject("error") : Poco::JSON::Object::Ptr();
        return error ? error->optValue<std::string>("run", "unknown") : "unknown";
    }

    void logBrokenConnection(const LoadJob& job, const Address& entry, const std::string& reason)
    {
        const Duration since = std::chrono::steady_clock::now() - job.due;
        logLine(LogEvent { "connection_broken",
            { { "request", std::to_string(job.request) }, { "entry", entry.host + ":" + std::to_string(entry.port) },
                { "after_ms", std::to_string(std::chrono::duration_cast<Milliseconds>(since).count()) },
                { "reason", reason } } });
    }

    Instant clockNow() { return std::chrono::steady_clock::now(); }

}

void LoadClient::run(const LoadJob& job)
{
    this->lastEventId.clear();
    AnswerOutcome outcome = AnswerOutcome::Lost;
    for (std::size_t attempt = 0; attempt < maxAttempts; ++attempt) {
        const Address& entry = this->target.entries[(job.request + attempt) % this->target.entries.size()];
        const AttemptResult result = this->lastEventId.empty() ? this->submit(job, entry) : this->resume(job, entry);
        if (result == AttemptResult::Finished)
            return;
        outcome = result == AttemptResult::ConnectionLost ? AnswerOutcome::Lost : AnswerOutcome::Failed;
        const bool resumable = !this->lastEventId.empty();
        if (result == AttemptResult::ConnectionLost && !resumable)
            break;
    }
    this->finish(job, outcome);
}

std::string LoadClient::requestBody(const LoadJob& job) const
{
    const RequestKind& kind = this->kinds[job.arrival.kind];
    Poco::JSON::Object body;
    body.set("model", this->model.get());
    body.set("prompt", job.arrival.prompt);
    body.set("stream", true);
    body.set("priority", priorityNames[static_cast<std::size_t>(kind.priority)]);
    if (kind.maxTokens != 0)
        body.set("max_tokens", kind.maxTokens);
    if (this->target.restartOnLoss)
        body.set("on_engine_loss", "restart");
    std::ostringstream text;
    body.stringify(text);
    return text.str();
}

LoadClient::AttemptResult LoadClient::submit(const LoadJob& job, const Address& entry)
{
    Poco::Net::HTTPClientSession session(entry.host, entry.port);
    setTimeout(session, this->target.readTimeout);
    Poco::Net::HTTPRequest request("POST", "/v1/completions", Poco::Net::HTTPMessage::HTTP_1_1);
    request.setContentType("application/json");
    request.set("Teaselfold-Team", job.arrival.team.get());
    const Milliseconds budget = this->kinds[job.arrival.kind].budget;
    request.set("Teaselfold-Deadline-Ms", std::to_string(budget.count()));
    if (!this->target.bearerToken.empty())
        request.set("Authorization", "Bearer " + this->target.bearerToken);
    const std::string body = this->requestBody(job);
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    try {
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::istream& in = session.receiveResponse(response);
        return this->readAnswer(job, response, in);
    } catch (const Poco::Net::ConnectionRefusedException&) {
        // The request was not sent, so it is safe to retry it at another entry.
        return AttemptResult::NotSent;
    } catch (const Poco::Exception& exception) {
        logBrokenConnection(job, entry, exception.displayText());
        return AttemptResult::ConnectionLost;
    }
}

LoadClient::AttemptResult LoadClient::resume(const LoadJob& job, const Address& entry)
{
    Poco::Net::HTTPClientSession session(entry.host, entry.port);
    setTimeout(session, this->target.readTimeout);
    Poco::Net::HTTPRequest request("GET", "/v1/completions/stream", Poco::Net::HTTPMessage::HTTP_1_1);
    request.set("Teaselfold-Team", job.arrival.team.get());
    request.set("Last-Event-ID", this->lastEventId);
    if (!this->target.bearerToken.empty())
        request.set("Authorization", "Bearer " + this->target.bearerToken);
    try {
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::istream& in = session.receiveResponse(response);
        return this->readAnswer(job, response, in);
    } catch (const Poco::Exception& exception) {
        logBrokenConnection(job, entry, exception.displayText());
        return AttemptResult::ConnectionLost;
    }
}

LoadClient::AttemptResult LoadClient::readAnswer(
    const LoadJob& job, const Poco::Net::HTTPResponse& response, std::istream& in)
{
    if (response.getStatus() == okStatus)
        return this->readStream(job, in);
    std::string body;
    Poco::StreamCopier::copyToString(in, body);
    const bool notRun = this->lastEventId.empty() && runStatus(body) == "no";
    return this->finish(job, notRun ? AnswerOutcome::Refused : AnswerOutcome::Failed);
}

LoadClient::AttemptResult LoadClient::readStream(const LoadJob& job, std::istream& in)
{
    while (const auto event = readStreamEvent(in)) {
        if (!event->id.empty())
            this->onEventId(job, event->id);
        if (event->kind == "restart")
            this->events.push(AnswerRestarted { job.request });
        else if (event->kind == "error")
            return this->finish(job, runStatus(event->data) == "no" ? AnswerOutcome::Refused : AnswerOutcome::Failed);
        else if (event->data == "[DONE]")
            return this->finish(job, AnswerOutcome::Completed);
        else
            this->readToken(job, event->data);
    }
    return AttemptResult::ConnectionLost;
}

void LoadClient::onEventId(const LoadJob& job, const std::string& eventId)
{
    const bool first = this->lastEventId.empty();
    this->lastEventId = eventId;
    const std::size_t index = eventId.rfind(':');
    const std::size_t generation = index == std::string::npos || index == 0 ? index : eventId.rfind(':', index - 1);
    if (first && generation != std::string::npos)
        this->events.push(EndpointIdentified { job.request, EndpointId(eventId.substr(0, generation)) });
}

void LoadClient::readToken(const LoadJob& job, const std::string& data)
{
    const auto object = parseObject(data);
    const auto choices = object ? object->getArray("choices") : Poco::JSON::Array::Ptr();
    const auto choice = choices ? choices->getObject(0) : Poco::JSON::Object::Ptr();
    const bool hasText = choice && object->has("index") && choice->has("text");
    if (!hasText)
        return;
    const auto text = choice->optValue<std::string>("text", "");
    // The last event holds the finish reason and no text.
    if (text.empty())
        return;
    this->events.push(TokenReceived { job.request, object->getValue<std::uint32_t>("index"), text, clockNow() });
}

LoadClient::AttemptResult LoadClient::finish(const LoadJob& job, AnswerOutcome outcome)
{
    this->events.push(AnswerEnded { job.request, outcome, clockNow() });
    return AttemptResult::Finished;
}

}
