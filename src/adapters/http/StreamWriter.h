#pragma once

#include "adapters/http/CallerExchange.h"

#include <iosfwd>

namespace teaselfold {

/** Writes the messages of a stream to its caller as server-sent events, until the last one or until the caller left. */
class StreamWriter {
public:
    explicit StreamWriter(CallerExchange& exchange)
        : exchange(exchange)
    {
    }

    /** Writes until the stream ends. A failure before the first event is answered with its HTTP status. */
    void run();

    bool onTokens(const CallerTokens& message);
    bool onRestart(const CallerRestart& message);
    bool onFinished(const CallerFinished& message);
    bool onCompletion(const CallerCompletion& message);
    bool onServiceAnswer(const CallerServiceResponse& message);
    bool onFailure(const CallerFailure& message);

private:
    bool write(const std::string& events);

    CallerExchange& exchange;
    std::ostream* out { nullptr };
};

}
