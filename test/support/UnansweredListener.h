#pragma once

#include "ports/Fleet.h"
#include "ports/Time.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <vector>

namespace teaselfold {

/** A TCP port on loopback whose queue of connections is full, so that an attempt to connect gets no reply. */
class UnansweredListener {
public:
    UnansweredListener()
    {
        constexpr std::size_t maxFillers = 16;
        const Poco::Timespan connectTimeout(Microseconds(Milliseconds(100)).count());
        this->listener.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
        this->listener.listen(0);
        while (this->fillers.size() < maxFillers) {
            Poco::Net::StreamSocket filler;
            filler.connectNB(this->listener.address());
            this->fillers.push_back(filler);
            if (!filler.poll(connectTimeout, Poco::Net::Socket::SELECT_WRITE))
                return;
        }
    }

    Address address() const { return { "127.0.0.1", this->listener.address().port() }; }

private:
    Poco::Net::ServerSocket listener;
    std::vector<Poco::Net::StreamSocket> fillers;
};

}
