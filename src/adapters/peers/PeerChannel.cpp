#include "adapters/peers/PeerChannel.h"

#include "adapters/peers/NewsCodec.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <array>

namespace teaselfold {

namespace {

    constexpr std::size_t largestDatagram = 4096;
    /** Upper bound on a wait, so that a stop is noticed. */
    constexpr Milliseconds pollTime(250);

}

PeerChannel::PeerChannel(Address listen, std::function<void(GossipMessage)> newsSink)
    : address(std::move(listen))
    , sink(std::move(newsSink))
{
}

std::optional<std::string> PeerChannel::start()
{
    try {
        this->socket.bind(Poco::Net::SocketAddress(this->address.host, this->address.port));
        this->socket.setBlocking(false);
        this->pollSet.add(this->socket, Poco::Net::PollSet::POLL_READ);
    } catch (const Poco::Exception& error) {
        return error.displayText();
    }
    this->thread = std::thread([this] { this->run(); });
    return std::nullopt;
}

void PeerChannel::stop()
{
    this->stopping = true;
    if (this->thread.joinable())
        this->thread.join();
}

void PeerChannel::run()
{
    const Poco::Timespan wait(Microseconds(pollTime).count());
    while (!this->stopping) {
        const auto ready = this->pollSet.poll(wait);
        if (!ready.empty())
            this->receiveAll();
    }
}

void PeerChannel::receiveAll()
{
    std::array<char, largestDatagram> buffer; // NOLINT: filled by the read
    try {
        while (true) {
            const int count = this->socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (count <= 0)
                return;
            if (auto gossip = decodeNews({ buffer.data(), static_cast<std::size_t>(count) }))
                this->sink(std::move(*gossip));
        }
    } catch (const Poco::Exception&) {
        // Nothing more to read, or an earlier datagram could not be delivered.
    }
}

void PeerChannel::send(const SendGossip& message)
{
    const std::string datagram = encodeNews(message.gossip);
    for (const Address& receiver : message.receivers) {
        try {
            this->socket.sendTo(datagram.data(), static_cast<int>(datagram.size()),
                Poco::Net::SocketAddress(receiver.host, receiver.port));
        } catch (const Poco::Exception&) {
            // The receiver or the way to it is gone; the next news tries again.
        }
    }
}

}
