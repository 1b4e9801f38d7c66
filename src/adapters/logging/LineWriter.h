#pragma once

#include "adapters/net/WakeChannel.h"
#include "ports/Time.h"

#include <atomic>
#include <string_view>

namespace teaselfold {

/** Writes lines to a file descriptor and waits for its reader, but not beyond a limit that may be set meanwhile. */
class LineWriter {
public:
    /** @param descriptor a pipe, a file or a terminal; stays open and keeps its flags. */
    explicit LineWriter(int descriptor)
        : descriptor(descriptor)
    {
    }

    /** @param line ends with a newline. @return false if the line was not written whole. */
    bool write(std::string_view line);
    /** Makes writes that still wait at the given time fail. Callable from any thread. */
    void limitWaits(Instant until);

private:
    /** @return false if the limit passes before the descriptor takes more bytes. */
    bool waitUntilWritable();

    int descriptor;
    WakeChannel wakeUps;
    std::atomic<Instant> waitLimit { Instant::max() };
};

}
