/// @file
/// @brief Look-up table of the transitions of a Boost.MSM machine without guards or actions.
#pragma once

// The request machine has more transitions than the default limit of an MPL vector.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30
#define BOOST_MPL_LIMIT_MAP_SIZE 30

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <boost/mp11.hpp>

#include <map>
#include <optional>
#include <vector>

namespace chervilspring::detail {

/// @brief MSM state that represents an enumerator.
template<auto Value> struct StateOf : boost::msm::front::state<>
{ };

/// @brief MSM event that represents an enumerator.
template<auto Value> struct TriggerOf
{ };

/// @brief MSM transition without guard and action.
template<auto From, auto Trigger, auto To>
using Transition = boost::msm::front::Row<StateOf<From>, TriggerOf<Trigger>, StateOf<To>>;

/// @brief Transitions of a machine, found by exploring it from its initial state.
/// @tparam Definition MSM front end with states StateOf<...>
/// @tparam Triggers mp_list of TriggerOf<...>
/// @tparam States mp_list of StateOf<...>
/// @tparam State enumeration of the states
/// @tparam Trigger enumeration of the events
template<typename Definition, typename Triggers, typename States, typename State, typename Trigger>
class LifecycleTable
{
public:
    LifecycleTable()
    {
        Machine machine;
        machine.start();
        explore(machine);
    }

    /// @brief Looks up a transition.
    /// @return the new state, or nothing if the trigger does not apply in this state
    std::optional<State> next(State state, Trigger trigger) const
    {
        const auto found = table_.find({state, trigger});
        if (found == table_.end())
            return std::nullopt;
        return found->second;
    }

private:
    using Machine = boost::msm::back::state_machine<Definition>;

    template<auto Value> static auto valueOf(StateOf<Value> *) { return Value; }
    template<auto Value> static auto valueOf(TriggerOf<Value> *) { return Value; }

    static State current(const Machine &machine)
    {
        State found{};
        boost::mp11::mp_for_each<boost::mp11::mp_transform<boost::mp11::mp_identity, States>>(
            [&](auto identity) {
                using Candidate = typename decltype(identity)::type;
                constexpr int id =
                    boost::msm::back::get_state_id<typename Machine::stt, Candidate>::value;
                if (machine.current_state()[0] == id)
                    found = valueOf(static_cast<Candidate *>(nullptr));
            });
        return found;
    }

    void explore(const Machine &machine)
    {
        const State from = current(machine);
        boost::mp11::mp_for_each<Triggers>([&](auto trigger) {
            const Trigger value = valueOf(&trigger);
            if (table_.contains({from, value}))
                return;
            Machine copy = machine;
            if (copy.process_event(trigger) != boost::msm::back::HANDLED_TRUE)
                return;
            table_[{from, value}] = current(copy);
            explore(copy);
        });
    }

    std::map<std::pair<State, Trigger>, State> table_;
};

} // namespace chervilspring::detail
