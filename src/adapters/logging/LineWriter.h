#pragma once

#include "adapters/net/WakeChannel.h"
#include "ports/Time.h"

#include <sys/types.h>

#include <atomic>
#include <string_view>

namespace teaselfold {

/** Writes lines to a file descriptor and waits for its reader, but not beyond a limit that may be set meanwhile. */
class LineWriter {
public:
    /** @param descriptor a pipe, a socket, a file or a terminal; stays open and keeps its flags. */
    explicit LineWriter(int descriptor);
    ~LineWriter();
    LineWriter(const LineWriter&) = delete;
    LineWriter& operator=(const LineWriter&) = delete;

    /** @param line ends with a newline. @return false if the line was not written whole. */
    bool write(std::string_view line);
    /** Makes writes that still wait at the given time fail. Callable from any thread. */
    void limitWaits(Instant until);

private:
    /** @return false if the limit passes before the descriptor takes more bytes. */
    bool waitUntilWritable();
    /** Writes what fits at once. @return the number of bytes; -1 on failure, with errno set. */
    ssize_t writeSome(std::string_view bytes) const;

    /** A non-blocking file description of the writer's own where the kind of descriptor allows it. */
    int reopened;
    int descriptor;
    WakeChannel wakeUps;
    std::atomic<Instant> waitLimit { Instant::max() };
};

}
