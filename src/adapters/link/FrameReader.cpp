#include "adapters/link/FrameReader.h"

#include "adapters/link/FrameWriter.h"

namespace teaselfold::Internal {

namespace {

    /** Size of a text's offset and length in a frame, in addition to its characters. */
    constexpr std::size_t textOverheadBytes = 8;

}

void FrameReader::recordError(FrameError error)
{
    if (!this->firstError)
        this->firstError = error;
}

bool FrameReader::consumeTextBudget(std::size_t size)
{
    if (size > this->remainingTextBytes) {
        this->recordError(FrameError::Malformed);
        return false;
    }
    this->remainingTextBytes -= size;
    return true;
}

std::string FrameReader::text(const flatbuffers::String* value)
{
    if (!value || !this->consumeTextBudget(value->size() + textOverheadBytes))
        return {};
    return value->str();
}

std::string FrameReader::bytes(const flatbuffers::Vector<std::uint8_t>* value)
{
    if (!value || !this->consumeTextBudget(value->size()))
        return {};
    return { reinterpret_cast<const char*>(value->data()), value->size() };
}

Milliseconds FrameReader::milliseconds(std::uint64_t value)
{
    if (value <= static_cast<std::uint64_t>(maxLinkDuration.count()))
        return Milliseconds(value);
    this->recordError(FrameError::ValueOutOfRange);
    return Milliseconds(0);
}

Microseconds FrameReader::microseconds(std::uint64_t value)
{
    if (value <= static_cast<std::uint64_t>(Microseconds(maxLinkDuration).count()))
        return Microseconds(value);
    this->recordError(FrameError::ValueOutOfRange);
    return Microseconds(0);
}

template <typename Enumeration> Enumeration FrameReader::enumeration(std::uint8_t value, Enumeration last)
{
    if (value <= static_cast<std::uint8_t>(last))
        return static_cast<Enumeration>(value);
    this->recordError(FrameError::ValueOutOfRange);
    return last;
}

CompletionWork FrameReader::work(const wire::Work* value)
{
    CompletionWork work;
    if (!value) {
        this->recordError(FrameError::Malformed);
        return work;
    }
    work.team = TeamId(this->text(value->team()));
    work.model = ModelId(this->text(value->model()));
    work.adapter = this->text(value->adapter());
    work.prompt = this->text(value->prompt());
    work.maxTokens = value->max_tokens();
    work.priority = this->enumeration(value->priority(), PriorityClass::Batch);
    work.fingerprint = Fingerprint(value->fingerprint());
    return work;
}

std::vector<Header> FrameReader::headers(const HeaderVector* values)
{
    std::vector<Header> headers;
    if (!values)
        return headers;
    for (const wire::Header* value : *values) {
        if (this->firstError)
            break;
        std::string name = this->text(value->name());
        headers.push_back({ std::move(name), this->text(value->value()) });
    }
    return headers;
}

ServiceWork FrameReader::call(const wire::Call* value)
{
    ServiceWork work;
    if (!value) {
        this->recordError(FrameError::Malformed);
        return work;
    }
    work.team = TeamId(this->text(value->team()));
    work.service = ServiceId(this->text(value->service()));
    work.method = this->text(value->method());
    work.path = this->text(value->path());
    work.headers = this->headers(value->headers());
    work.body = this->bytes(value->body());
    work.key = IdempotencyKey(this->text(value->key()));
    work.atMostOnce = value->at_most_once();
    work.fingerprint = Fingerprint(value->fingerprint());
    return work;
}

ServiceOrder FrameReader::order(const wire::Order& value)
{
    ServiceOrder order;
    std::string subject = this->text(value.subject());
    if (value.subject_is_zone())
        order.subject = ZoneId(std::move(subject));
    else
        order.subject = EndpointId(std::move(subject));
    order.sequence = value.sequence();
    order.out = value.out();
    order.id = OrderId(this->text(value.id()));
    order.author = this->text(value.author());
    order.reason = this->text(value.reason());
    order.recorded = value.recorded();
    return order;
}

Failure FrameReader::failure(const wire::Failure* value)
{
    Failure failure;
    if (!value) {
        this->recordError(FrameError::Malformed);
        return failure;
    }
    failure.code = this->enumeration(value->code(), ErrorCode::Internal);
    failure.message = this->text(value->message());
    failure.run = this->enumeration(value->run(), Executed::Yes);
    failure.retryAfter = this->milliseconds(value->retry_after_ms());
    return failure;
}

EntryHello FrameReader::read(const wire::EntryHello& message) { return { EntryId(this->text(message.entry())) }; }

EntryHeartbeat FrameReader::read(const wire::EntryHeartbeat& message)
{
    return { ReleaseVersion(message.release()), message.orders_digest() };
}

SubmitGeneration FrameReader::read(const wire::SubmitGeneration& message)
{
    return { GenerationId(message.generation()), this->work(message.work()), this->milliseconds(message.budget_ms()) };
}

CancelGeneration FrameReader::read(const wire::CancelGeneration& message)
{
    return { GenerationId(message.generation()) };
}

ResumeGeneration FrameReader::read(const wire::ResumeGeneration& message)
{
    return { GenerationId(message.generation()), TeamId(this->text(message.team())), message.next_index() };
}

AcknowledgeTokens FrameReader::read(const wire::AcknowledgeTokens& message)
{
    return { GenerationId(message.generation()), message.next_index() };
}

SubmitCall FrameReader::read(const wire::SubmitCall& message)
{
    return { GenerationId(message.call()), this->call(message.work()), this->milliseconds(message.budget_ms()) };
}

FleetCopy FrameReader::read(const wire::FleetCopy& message)
{
    auto fleet = this->documents.decodeFleet(this->text(message.document()));
    if (auto* decoded = std::get_if<Fleet>(&fleet))
        return { std::move(*decoded) };
    this->recordError(FrameError::BadDocument);
    return {};
}

NoteDelivery FrameReader::read(const wire::NoteDelivery& message)
{
    auto note = this->documents.decodeNote(this->text(message.document()));
    if (auto* decoded = std::get_if<ReleaseNote>(&note))
        return { ReleaseVersion(message.version()), std::move(*decoded) };
    this->recordError(FrameError::BadDocument);
    return {};
}

OrdersDelivery FrameReader::read(const wire::OrdersDelivery& message)
{
    OrdersDelivery delivery;
    if (!message.orders())
        return delivery;
    for (const wire::Order* order : *message.orders()) {
        if (this->firstError)
            break;
        delivery.orders.push_back(this->order(*order));
    }
    return delivery;
}

QuarantineDelivery FrameReader::read(const wire::QuarantineDelivery& message)
{
    QuarantineDelivery delivery;
    if (!message.suspects())
        return delivery;
    for (const wire::Suspect* suspect : *message.suspects())
        delivery.suspects.push_back(
            { Fingerprint(suspect->fingerprint()), suspect->deaths(), this->milliseconds(suspect->remaining_ms()) });
    return delivery;
}

FleetRequest FrameReader::read(const wire::FleetRequest&) { return {}; }

AgentHello FrameReader::read(const wire::AgentHello& message)
{
    return { EndpointId(this->text(message.endpoint())), Incarnation(message.incarnation()) };
}

LoadReport FrameReader::read(const wire::LoadReport& message)
{
    LoadReport report;
    report.release = ReleaseVersion(message.release());
    report.ordersDigest = message.orders_digest();
    report.running = message.running();
    report.queued = message.queued();
    report.room = message.room();
    report.memoryPermille = message.memory_permille();
    report.pace = this->microseconds(message.pace_us());
    report.expectedWait = this->milliseconds(message.expected_wait_ms());
    report.cold = message.cold();
    report.leaving = message.leaving();
    return report;
}

GenerationAccepted FrameReader::read(const wire::GenerationAccepted& message)
{
    return { GenerationId(message.generation()) };
}

GenerationRefused FrameReader::read(const wire::GenerationRefused& message)
{
    return { GenerationId(message.generation()), this->enumeration(message.code(), ErrorCode::Internal),
        this->milliseconds(message.retry_after_ms()) };
}

GenerationStarted FrameReader::read(const wire::GenerationStarted& message)
{
    return { GenerationId(message.generation()) };
}

GenerationTokens FrameReader::read(const wire::GenerationTokens& message)
{
    GenerationTokens tokens { GenerationId(message.generation()), message.first_index(), {} };
    if (!message.texts())
        return tokens;
    for (const flatbuffers::String* token : *message.texts()) {
        if (this->firstError)
            break;
        tokens.texts.push_back(this->text(token));
    }
    return tokens;
}

GenerationFinished FrameReader::read(const wire::GenerationFinished& message)
{
    return { GenerationId(message.generation()), message.token_count(),
        this->enumeration(message.reason(), FinishReason::Length) };
}

GenerationFailed FrameReader::read(const wire::GenerationFailed& message)
{
    return { GenerationId(message.generation()), this->failure(message.failure()) };
}

GenerationUnknown FrameReader::read(const wire::GenerationUnknown& message)
{
    return { GenerationId(message.generation()) };
}

CallAnswered FrameReader::read(const wire::CallAnswered& message)
{
    CallAnswered answer;
    answer.call = GenerationId(message.call());
    answer.status = message.status();
    answer.headers = this->headers(message.headers());
    answer.body = this->bytes(message.body());
    answer.replayed = message.replayed();
    return answer;
}

CallFailed FrameReader::read(const wire::CallFailed& message)
{
    return { GenerationId(message.call()), this->failure(message.failure()) };
}

}
