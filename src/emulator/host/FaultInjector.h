#pragma once

#include "ports/Time.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace teaselfold {

/** A fault to inject into an emulated server. */
struct Fault {
    /** One of the server's fault modes; "none" ends the fault. */
    std::string mode { "none" };
    /** Delay of each request in the mode "slow". */
    Milliseconds delay { 0 };
    /** Factor on the duration of an engine's steps in the modes "slow" and "crowded". */
    double factor { 1 };
};

/** What the server does with a request once the fault has delayed it. */
enum class FaultAction : std::uint8_t {
    Proceed,
    /** Close the connection without a response. */
    DropConnection,
    /** Process the request, then close the connection without a response. */
    DropConnectionAfterWork,
};

/**
 * Injects the faults that all emulated servers share: slow, freeze, silent, down, lose_answers, die, die_after_run.
 * HTTP threads block in `applyToRequest` while a fault delays their request. Thread-safe.
 */
class FaultInjector {
public:
    /** Replaces the current fault. The mode `die` exits the process immediately. */
    void set(const Fault& fault);
    Fault current() const;

    /**
     * Applies the current fault at the start of a request; may block.
     * @param connection the peer's address and port.
     * @return what to do with the request.
     */
    FaultAction applyToRequest(const std::string& connection);

    /** Blocks while frozen, before each part of a stream. @return false if the connection is permanently silent. */
    bool waitUntilWritable(const std::string& connection);

    /** Exits the process if the fault is `die_after_run`. */
    void exitIfDieAfterRun() const;

    /** Blocks until `stop`; used for a permanently silent connection. */
    void waitUntilStopped();

    /** Releases all blocked threads. */
    void stop();

private:
    /** Records the epoch of a connection's first use. @return true if a `silent` fault was set after that. */
    bool isSilent(const std::string& connection);

    mutable std::mutex mutex;
    std::condition_variable changed;
    Fault fault;
    /** Incremented by each `silent` fault: connections first seen in an earlier epoch stay silent. */
    std::uint64_t silenceEpoch { 0 };
    std::map<std::string, std::uint64_t> firstSeenEpoch;
    bool stopped { false };
};

}
