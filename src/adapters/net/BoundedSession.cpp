#include "adapters/net/BoundedSession.h"

#include <Poco/Exception.h>

namespace teaselfold {

bool BoundedSession::hasUnexpectedInput()
{
    if (!this->connected())
        return false;
    try {
        return this->buffered() > 0 || this->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    } catch (const Poco::Exception&) {
        // A connection that cannot be asked cannot be used either.
        return true;
    }
}

}
