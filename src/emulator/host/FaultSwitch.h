#pragma once

#include "ports/Time.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace teaselfold {

/** A fault that a stand-in is told to show. */
struct Fault {
    /** One of the stand-in's modes; "none" ends the fault. */
    std::string mode { "none" };
    /** Added to each request's duration by "slow". */
    Milliseconds delay { 0 };
    /** Multiplies the duration of an engine's steps in "slow". */
    double factor { 1 };
};

/** What a request handler does after the fault has had its effect. */
enum class FaultVerdict : std::uint8_t {
    Proceed,
    /** Close the connection without an answer. */
    Cut,
    /** Do the work, then close the connection without an answer. */
    CutAfterWork,
};

/**
 * The faults that stand-ins have in common: slow, freeze, silent, down, lose_answers, die, die_after_run.
 * Handlers' threads wait inside `enter` while a fault holds them.
 */
class FaultSwitch {
public:
    /** Changes the fault. `die` ends the process at once. */
    void set(const Fault& fault);
    Fault current() const;

    /**
     * Called at the start of each request.
     * @param connection the peer's address and port.
     * @return what to do with the request.
     */
    FaultVerdict enter(const std::string& connection);

    /** Called between parts of a stream: waits while frozen. @return false when the connection is silent for good. */
    bool mayWrite(const std::string& connection);

    /** Ends the process when the fault is `die_after_run`. */
    void afterRun() const;

    /** Waits until the switch stops; for a connection that is silent for good. */
    void holdSilent();

    /** Lets all waiting threads go. */
    void stop();

private:
    bool isSilent(const std::string& connection);

    mutable std::mutex mutex;
    std::condition_variable changed;
    Fault fault;
    /** Raised by each `silent` fault: connections first seen under an older number stay silent. */
    std::uint64_t silences { 0 };
    std::map<std::string, std::uint64_t> firstSeen;
    bool stopped { false };
};

}
