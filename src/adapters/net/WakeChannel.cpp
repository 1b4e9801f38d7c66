#include "adapters/net/WakeChannel.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <array>

namespace teaselfold {

WakeChannel::WakeChannel()
{
    const Poco::Net::SocketAddress anyPort("127.0.0.1", 0);
    this->receiver.bind(anyPort);
    this->sender.bind(anyPort);
    this->receiver.connect(this->sender.address());
    this->sender.connect(this->receiver.address());
    this->receiver.setBlocking(false);
    this->sender.setBlocking(false);
}

void WakeChannel::wake()
{
    if (this->pending.exchange(true))
        return;
    try {
        const char byte = 0;
        this->sender.sendBytes(&byte, 1);
    } catch (const Poco::Exception&) {
        // The next wake-up tries again; the polling thread also looks for work at intervals of its own.
        this->pending = false;
    }
}

void WakeChannel::reset()
{
    std::array<char, 16> bytes {};
    try {
        this->receiver.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
    } catch (const Poco::Exception&) {
        // No datagram is waiting: an earlier call has read it.
    }
    this->pending = false;
}

}
