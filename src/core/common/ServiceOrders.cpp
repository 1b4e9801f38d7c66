#include "core/common/ServiceOrders.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <tuple>

namespace teaselfold {

namespace {

    auto precedenceOf(const ServiceOrder& order) { return std::tie(order.sequence, order.out, order.id); }

    void appendField(std::string& text, const std::string& part)
    {
        text += std::to_string(part.size());
        text += ':';
        text += part;
    }

    std::string subjectName(const OrderSubject& subject)
    {
        return std::visit([](const auto& id) { return id.get(); }, subject);
    }

    std::uint64_t hashOf(const ServiceOrder& order)
    {
        std::string text;
        appendField(text, std::to_string(order.subject.index()));
        appendField(text, subjectName(order.subject));
        appendField(text, std::to_string(order.sequence));
        appendField(text, order.out ? "out" : "in");
        appendField(text, order.id.get());
        appendField(text, order.recorded ? "recorded" : "open");
        return XXH3_64bits(text.data(), text.size());
    }

}

bool supersedes(const ServiceOrder& left, const ServiceOrder& right)
{
    return precedenceOf(left) > precedenceOf(right);
}

bool ServiceOrders::merge(const ServiceOrder& order)
{
    const auto [position, isNew] = this->orders.try_emplace(order.subject, order);
    if (isNew)
        return true;
    ServiceOrder& known = position->second;
    if (supersedes(order, known)) {
        known = order;
        return true;
    }
    const bool same = !supersedes(known, order);
    if (!same || known.recorded || !order.recorded)
        return false;
    known.recorded = true;
    return true;
}

std::uint64_t ServiceOrders::digest() const
{
    std::uint64_t sum = 0;
    for (const auto& [subject, order] : this->orders)
        sum += hashOf(order);
    return sum;
}

bool ServiceOrders::isOutOfService(const ZoneId& zone) const { return this->isSubjectOutOfService(zone); }

bool ServiceOrders::isOutOfService(const EndpointId& endpoint) const { return this->isSubjectOutOfService(endpoint); }

const ServiceOrder* ServiceOrders::find(const OrderSubject& subject) const
{
    const auto found = this->orders.find(subject);
    return found == this->orders.end() ? nullptr : &found->second;
}

std::vector<ServiceOrder> ServiceOrders::all() const
{
    std::vector<ServiceOrder> result;
    result.reserve(this->orders.size());
    for (const auto& [subject, order] : this->orders)
        result.push_back(order);
    return result;
}

std::uint64_t ServiceOrders::highestSequence() const
{
    std::uint64_t highest = 0;
    for (const auto& [subject, order] : this->orders)
        highest = std::max(highest, order.sequence);
    return highest;
}

bool ServiceOrders::isSubjectOutOfService(const OrderSubject& subject) const
{
    const ServiceOrder* order = this->find(subject);
    return order != nullptr && order->out;
}

}
