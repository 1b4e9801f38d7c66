#pragma once

#include "adapters/http/CallerExchange.h"

#include <iosfwd>

namespace teaselfold {

/** Writes the messages of a stream to its caller as server-sent events. */
class StreamWriter {
public:
    explicit StreamWriter(CallerExchange& exchange)
        : exchange(exchange)
    {
    }

    /** Writes until the stream ends or the caller disconnects. A failure before the first event sets the HTTP status.
     */
    void run();

    // Each handler returns whether the stream continues.
    bool onTokens(const CallerTokens& message);
    bool onRestart(const CallerRestart& message);
    bool onFinished(const CallerFinished& message);
    bool onCompletion(const CallerCompletion& message);
    bool onServiceResponse(const CallerServiceResponse& message);
    bool onFailure(const CallerFailure& message);

private:
    bool write(const std::string& events);

    CallerExchange& exchange;
    std::ostream* out { nullptr };
};

}
