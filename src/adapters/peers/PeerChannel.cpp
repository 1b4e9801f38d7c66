#include "adapters/peers/PeerChannel.h"

#include "adapters/peers/GossipCodec.h"
#include "adapters/peers/ReadingCodec.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <array>

namespace teaselfold {

namespace {

    constexpr std::size_t maxDatagramBytes = 4096;
    /** Bounds the delay until a stop request is noticed whose wake-up could not be sent. */
    constexpr Milliseconds pollTimeout(250);

}

PeerChannel::PeerChannel(Address listen, std::function<void(GatewayEvent)> eventSink)
    : address(std::move(listen))
    , sink(std::move(eventSink))
{
}

std::optional<std::string> PeerChannel::start()
{
    try {
        this->socket.bind(Poco::Net::SocketAddress(this->address.host, this->address.port));
        this->socket.setBlocking(false);
        this->pollSet.add(this->socket, Poco::Net::PollSet::POLL_READ);
        this->pollSet.add(this->wakeUps.socket(), Poco::Net::PollSet::POLL_READ);
    } catch (const Poco::Exception& error) {
        return error.displayText();
    }
    this->thread = std::thread([this] { this->run(); });
    return std::nullopt;
}

void PeerChannel::stop()
{
    this->stopping = true;
    this->wakeUps.wake();
    if (this->thread.joinable())
        this->thread.join();
}

void PeerChannel::run()
{
    const Poco::Timespan wait(Microseconds(pollTimeout).count());
    while (!this->stopping) {
        const auto ready = this->pollSet.poll(wait);
        if (ready.contains(this->socket))
            this->receiveAll();
    }
}

void PeerChannel::receiveAll()
{
    std::array<char, maxDatagramBytes> buffer; // NOLINT: filled by the read
    try {
        while (!this->stopping) {
            const int count = this->socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (count <= 0)
                return;
            this->receive({ buffer.data(), static_cast<std::size_t>(count) });
        }
    } catch (const Poco::Exception&) {
        // Nothing more to read, or the socket reports that an earlier datagram was undeliverable.
    }
}

void PeerChannel::receive(std::string_view datagram)
{
    if (auto gossip = decodeGossip(datagram))
        this->sink(GossipReceived { std::move(*gossip) });
    else if (auto reading = decodeReading(datagram))
        this->sink(StoreReadingReceived { std::move(*reading) });
}

void PeerChannel::send(const SendGossip& message)
{
    this->sendDatagram(encodeGossip(message.gossip), message.receivers);
}

void PeerChannel::send(const SendReading& message)
{
    this->sendDatagram(encodeReading(message.reading), message.receivers);
}

void PeerChannel::sendDatagram(const std::string& datagram, const std::vector<Address>& receivers)
{
    for (const Address& receiver : receivers) {
        try {
            this->socket.sendTo(datagram.data(), static_cast<int>(datagram.size()),
                Poco::Net::SocketAddress(receiver.host, receiver.port));
        } catch (const Poco::Exception&) {
            // The receiver is unreachable; the next gossip round tries again.
        }
    }
}

}
