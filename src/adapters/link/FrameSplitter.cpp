#include "adapters/link/FrameSplitter.h"

namespace teaselfold {

SocketLoopOptions linkLoopOptions()
{
    SocketLoopOptions options;
    options.makeDecoder = [] { return std::make_unique<FrameSplitter>(); };
    // Room for one largest frame behind what already waits.
    options.maxOutboundBytes = maximumFrameBytes + std::size_t { 4 } * 1024 * 1024;
    return options;
}

}
