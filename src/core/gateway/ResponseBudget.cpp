#include "core/gateway/ResponseBudget.h"

#include <algorithm>

namespace teaselfold {

void ResponseBudget::record(ConnectionId connection, std::size_t bytes)
{
    if (bytes == 0)
        return this->closed(connection);
    std::size_t& account = this->accounts[connection];
    this->totalBytes += bytes - account;
    account = bytes;
}

void ResponseBudget::closed(ConnectionId connection)
{
    const auto found = this->accounts.find(connection);
    if (found == this->accounts.end())
        return;
    this->totalBytes -= found->second;
    this->accounts.erase(found);
}

std::optional<ConnectionId> ResponseBudget::excess() const
{
    if (this->totalBytes <= this->limit || this->accounts.size() < 2)
        return std::nullopt;
    const auto largest = std::max_element(this->accounts.begin(), this->accounts.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    return largest->first;
}

}
