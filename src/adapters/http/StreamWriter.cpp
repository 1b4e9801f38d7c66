#include "adapters/http/StreamWriter.h"

#include "adapters/http/ServerSentEvents.h"
#include "core/common/HandlerTable.h"

#include <ostream>

namespace teaselfold {

namespace {

    constexpr HandlerTable<StreamWriter, bool, CallerMessage> handlers {
        &StreamWriter::onTokens,
        &StreamWriter::onRestart,
        &StreamWriter::onFinished,
        &StreamWriter::onCompletion,
        &StreamWriter::onServiceResponse,
        &StreamWriter::onFailure,
    };

}

void StreamWriter::run()
{
    while (const auto message = this->exchange.waitForMessage())
        if (!handlers.dispatch(*this, *message))
            return;
}

bool StreamWriter::onTokens(const CallerTokens& message)
{
    if (!this->write(encodeTokenEvents(message)))
        return false;
    this->exchange.reportConsumed(message.firstIndex + static_cast<std::uint32_t>(message.texts.size()));
    return true;
}

bool StreamWriter::onRestart(const CallerRestart& message) { return this->write(encodeRestartEvent(message)); }

bool StreamWriter::onFinished(const CallerFinished& message)
{
    this->exchange.markComplete();
    this->write(encodeFinishEvents(message));
    return false;
}

bool StreamWriter::onCompletion(const CallerCompletion&) { return false; }

bool StreamWriter::onServiceResponse(const CallerServiceResponse&) { return false; }

bool StreamWriter::onFailure(const CallerFailure& message)
{
    this->exchange.markComplete();
    if (this->out)
        this->write(encodeErrorEvent(message.failure));
    else
        this->exchange.sendFailure(message.failure);
    return false;
}

bool StreamWriter::write(const std::string& events)
{
    if (!this->out) {
        this->exchange.response.setContentType("text/event-stream");
        this->exchange.response.set("Cache-Control", "no-store");
        this->exchange.response.setChunkedTransferEncoding(true);
        this->out = &this->exchange.response.send();
    }
    *this->out << events << std::flush;
    return this->out->good();
}

}
