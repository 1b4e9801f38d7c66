#include "adapters/link/FrameSplitter.h"

namespace teaselfold {

SocketLoopOptions linkLoopOptions()
{
    SocketLoopOptions options;
    options.makeDecoder = [] { return std::make_unique<FrameSplitter>(); };
    // A frame of the maximum size fits in addition to 4 MiB of queued bytes.
    options.maxOutboundBytes = maximumFrameBytes + std::size_t { 4 } * 1024 * 1024;
    return options;
}

}
