#include "core/gateway/CallerBudget.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace teaselfold {

namespace {

    constexpr std::chrono::duration<double> movedHalfLife(1);
    /** Bytes that count as progress; a caller that sends or takes fewer at a time makes none. */
    constexpr std::uint64_t progressBytes = 4096;
    /** Part of a limit that is freed when it is reached, so that not every further byte needs a decision. */
    constexpr std::size_t freedFraction = 16;
    /** A longer time between two checks means that the process was suspended, and callers could take nothing. */
    constexpr Milliseconds longestCheckInterval(1000);

    std::uint64_t movedBytes(const CallerUsage& usage) { return usage.receivedBytes + usage.takenBytes; }

}

double CallerBudget::movedLately(const Account& account, Instant now)
{
    const std::chrono::duration<double> elapsed = std::max(now - account.updatedAt, Duration::zero());
    return account.movedLately * std::exp2(-(elapsed / movedHalfLife));
}

void CallerBudget::opened(ConnectionId connection, Instant now)
{
    Account& account = this->accounts[connection];
    account.updatedAt = now;
    account.progressAt = now;
    account.unreadSince = now;
}

void CallerBudget::closed(ConnectionId connection)
{
    const auto found = this->accounts.find(connection);
    if (found == this->accounts.end())
        return;
    const CallerUsage& usage = found->second.usage;
    this->totalBytes -= usage.heldBytes;
    this->servedBytes -= usage.activity == CallerActivity::Served ? usage.heldBytes : 0;
    this->accounts.erase(found);
}

void CallerBudget::record(ConnectionId connection, const CallerUsage& usage, Instant now)
{
    const auto found = this->accounts.find(connection);
    if (found == this->accounts.end())
        return;
    Account& account = found->second;
    const CallerUsage& before = account.usage;
    this->totalBytes += usage.heldBytes - before.heldBytes;
    this->servedBytes -= before.activity == CallerActivity::Served ? before.heldBytes : 0;
    this->servedBytes += usage.activity == CallerActivity::Served ? usage.heldBytes : 0;
    account.movedLately = movedLately(account, now) + static_cast<double>(movedBytes(usage) - movedBytes(before));
    account.updatedAt = now;
    if (usage.activity != before.activity || movedBytes(usage) - account.movedAtProgress >= progressBytes) {
        account.progressAt = now;
        account.movedAtProgress = movedBytes(usage);
    }
    if (before.activity != CallerActivity::Unread || usage.takenBytes > before.takenBytes)
        account.unreadSince = now;
    account.usage = usage;
}

bool CallerBudget::admitsBody(std::uint64_t bytes) const
{
    return this->servedBytes == 0 || this->servedBytes + bytes <= this->limits.memoryBytes;
}

std::vector<ConnectionId> CallerBudget::shortOfMemory(Instant now) const
{
    std::vector<ConnectionId> chosen;
    if (this->totalBytes <= this->limits.memoryBytes || this->accounts.size() < 2)
        return chosen;
    // Requests in progress come last; within a group, the first are those that hold most per byte they move.
    std::vector<std::tuple<bool, double, ConnectionId, std::size_t>> order;
    order.reserve(this->accounts.size());
    for (const auto& [id, account] : this->accounts) {
        const double held = static_cast<double>(account.usage.heldBytes);
        const double moved = movedLately(account, now) + static_cast<double>(progressBytes);
        order.emplace_back(
            account.usage.activity == CallerActivity::Served, -held / moved, id, account.usage.heldBytes);
    }
    std::sort(order.begin(), order.end());
    const std::size_t target = this->limits.memoryBytes - this->limits.memoryBytes / freedFraction;
    std::size_t left = this->totalBytes;
    for (const auto& [isServed, score, id, held] : order) {
        // What requests in progress hold is needed for their answers, so that only what exceeds the limit is freed.
        if (left <= (isServed ? this->limits.memoryBytes : target))
            break;
        chosen.push_back(id);
        left -= held;
    }
    return chosen;
}

std::vector<ConnectionId> CallerBudget::shortOfConnections(std::size_t others) const
{
    std::vector<ConnectionId> chosen;
    if (this->accounts.size() + others <= this->limits.connections)
        return chosen;
    std::vector<std::pair<Instant, ConnectionId>> order;
    order.reserve(this->accounts.size());
    for (const auto& [id, account] : this->accounts) {
        if (account.usage.activity != CallerActivity::Served)
            order.emplace_back(account.progressAt, id);
    }
    const std::size_t excess = this->accounts.size() + others - this->limits.connections;
    // Never all of them: the newest is the one that needs the room.
    const std::size_t spare = std::min(this->limits.connections / freedFraction, order.size() / 2);
    const std::size_t count = std::min(order.size(), std::max(excess, spare));
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end());
    for (std::size_t index = 0; index < count; ++index)
        chosen.push_back(order[index].second);
    return chosen;
}

std::vector<ConnectionId> CallerBudget::unread() const
{
    std::vector<ConnectionId> found;
    for (const auto& [id, account] : this->accounts) {
        if (account.usage.activity == CallerActivity::Unread)
            found.push_back(id);
    }
    return found;
}

std::vector<ConnectionId> CallerBudget::overdue(Instant now)
{
    const Duration elapsed = now - this->lastCheck.value_or(now);
    this->lastCheck = now;
    std::vector<ConnectionId> found;
    for (auto& [id, account] : this->accounts) {
        if (elapsed > longestCheckInterval)
            account.unreadSince += elapsed;
        if (account.usage.activity == CallerActivity::Unread && now - account.unreadSince > this->limits.unreadLimit)
            found.push_back(id);
    }
    return found;
}

}
