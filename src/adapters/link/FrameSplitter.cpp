#include "adapters/link/FrameSplitter.h"

namespace teaselfold {

SocketLoopOptions linkLoopOptions()
{
    SocketLoopOptions options;
    options.makeSplitter = [] { return std::make_unique<FrameSplitter>(); };
    // Room for one largest frame behind what already waits.
    options.maximumOutboundBytes = maximumFrameBytes + std::size_t { 4 } * 1024 * 1024;
    return options;
}

}
