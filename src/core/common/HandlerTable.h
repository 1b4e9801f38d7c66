#pragma once

#include <cstddef>
#include <tuple>
#include <utility>
#include <variant>

namespace teaselfold {

template <typename Owner, typename Result, typename Event, typename... Extra> class HandlerTable;

/**
 * A dispatch table of member function pointers, one for each alternative of a variant, in the order of the
 * alternatives.
 * @tparam Owner the class whose member functions handle the events.
 * @tparam Result the return type of every handler.
 * @tparam Events the alternatives of the variant.
 * @tparam Extra further arguments passed to each handler, such as the time.
 */
template <typename Owner, typename Result, typename... Events, typename... Extra>
class HandlerTable<Owner, Result, std::variant<Events...>, Extra...> {
public:
    constexpr explicit HandlerTable(Result (Owner::*... handlers)(const Events&, Extra...))
        : handlers(handlers...)
    {
    }

    /** Calls the handler of the event's alternative. @return the handler's result. */
    Result dispatch(Owner& owner, const std::variant<Events...>& event, Extra... extra) const
    {
        return this->call(owner, event, std::index_sequence_for<Events...> {}, extra...);
    }

private:
    template <std::size_t... Indices>
    Result call(
        Owner& owner, const std::variant<Events...>& event, std::index_sequence<Indices...>, Extra... extra) const
    {
        using Thunk = Result (*)(const HandlerTable&, Owner&, const std::variant<Events...>&, Extra...);
        static constexpr Thunk thunks[] = { &HandlerTable::template callOne<Indices>... };
        return thunks[event.index()](*this, owner, event, extra...);
    }

    template <std::size_t Index>
    static Result callOne(const HandlerTable& table, Owner& owner, const std::variant<Events...>& event, Extra... extra)
    {
        return (owner.*std::get<Index>(table.handlers))(*std::get_if<Index>(&event), extra...);
    }

    std::tuple<Result (Owner::*)(const Events&, Extra...)...> handlers;
};

}
