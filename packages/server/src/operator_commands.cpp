#include "chervilspring/detail/process/operator_commands.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace chervilspring {

namespace {

leaf::error_id malformedBody(const std::string &path, const std::string &detail)
{
    return leaf::new_error(Error{ErrorId::BadJson, "operator call " + path, "", detail});
}

leaf::result<std::string> stringMember(const boost::json::object &object, const char *name,
                                       const std::string &path, bool required = true)
{
    const auto *value = object.if_contains(name);
    if (value && value->is_string())
        return std::string(value->as_string());
    if (!value && !required)
        return std::string();
    return malformedBody(path, std::string("member \"") + name + "\" has to be a string");
}

leaf::result<std::uint64_t> unsignedMember(const boost::json::object &object, const char *name,
                                           const std::string &path)
{
    const auto *value = object.if_contains(name);
    if (value && value->is_int64() && value->as_int64() >= 0)
        return static_cast<std::uint64_t>(value->as_int64());
    return malformedBody(path, std::string("member \"") + name + "\" has to be a number from 0 on");
}

leaf::result<bool> boolMember(const boost::json::object &object, const char *name,
                              const std::string &path)
{
    const auto *value = object.if_contains(name);
    if (value && value->is_bool())
        return value->as_bool();
    return malformedBody(path, std::string("member \"") + name + "\" has to be true or false");
}

leaf::result<OperatorCommand> parseApplyFleet(const boost::json::object &object,
                                              const std::string &path, const View &view)
{
    ApplyFleet command;
    BOOST_LEAF_ASSIGN(command.operationId_, stringMember(object, "operation_id", path));
    BOOST_LEAF_ASSIGN(command.baseVersion_, unsignedMember(object, "base_version", path));
    BOOST_LEAF_AUTO(text, stringMember(object, "fleet", path));
    BOOST_LEAF_ASSIGN(command.fleet_, parseFleet(text, "fleet"));
    const std::string warning = describeUnmatchedSelectors(command.fleet_, view.upstreams_);
    return OperatorCommand{command, warning};
}

leaf::result<OperatorCommand> parseLabel(const boost::json::object &object, const std::string &path)
{
    SetLabel command;
    BOOST_LEAF_ASSIGN(command.operationId_, stringMember(object, "operation_id", path));
    BOOST_LEAF_ASSIGN(command.upstream_, stringMember(object, "upstream", path));
    BOOST_LEAF_ASSIGN(command.key_, stringMember(object, "key", path));
    BOOST_LEAF_ASSIGN(command.value_, stringMember(object, "value", path, false));
    return OperatorCommand{command, {}};
}

leaf::result<OperatorCommand> parseDrain(const boost::json::object &object, const std::string &path)
{
    DrainUpstream command;
    BOOST_LEAF_ASSIGN(command.operationId_, stringMember(object, "operation_id", path));
    BOOST_LEAF_ASSIGN(command.upstream_, stringMember(object, "upstream", path));
    BOOST_LEAF_ASSIGN(command.drained_, boolMember(object, "drained", path));
    return OperatorCommand{command, {}};
}

leaf::result<OperatorCommand> parseEvacuate(const boost::json::object &object,
                                            const std::string &path)
{
    EvacuateDataCenter command;
    BOOST_LEAF_ASSIGN(command.dataCenter_, stringMember(object, "data_center", path));
    BOOST_LEAF_ASSIGN(command.evacuated_, boolMember(object, "evacuated", path));
    return OperatorCommand{command, {}};
}

leaf::result<OperatorCommand> parseSettle(const boost::json::object &object,
                                          const std::string &path)
{
    SettleRecord command;
    BOOST_LEAF_ASSIGN(command.operationId_, stringMember(object, "operation_id", path));
    BOOST_LEAF_ASSIGN(command.key_.account_, stringMember(object, "account", path));
    BOOST_LEAF_ASSIGN(command.key_.pipeline_, stringMember(object, "pipeline", path));
    BOOST_LEAF_ASSIGN(command.key_.key_, stringMember(object, "key", path));
    BOOST_LEAF_ASSIGN(command.ran_, boolMember(object, "ran", path));
    BOOST_LEAF_ASSIGN(command.body_, stringMember(object, "body", path, command.ran_));
    return OperatorCommand{command, {}};
}

bool matchesAny(const std::string &selectorText, const Fleet &fleet,
                const std::vector<Upstream> &upstreams)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(selector, parseSelector(selectorText));
            return std::any_of(upstreams.begin(), upstreams.end(), [&](const Upstream &upstream) {
                return matches(selector, effectiveLabels(upstream, fleet));
            });
        },
        [] { return false; });
}

void appendWarning(std::string &text, const std::string &owner, const std::string &selector)
{
    text += (text.empty() ? "" : "; ") + owner + ": selector \"" + selector
        + "\" matches no upstream now";
}

} // namespace

std::string describeUnmatchedSelectors(const Fleet &fleet, const std::vector<Upstream> &upstreams)
{
    std::string text;
    for (const Pool &pool : fleet.pools_) {
        if (!matchesAny(pool.selector_, fleet, upstreams))
            appendWarning(text, "pool " + pool.name_, pool.selector_);
    }
    for (const PipelineSpec &pipeline : fleet.pipelines_) {
        for (const StageSpec &stage : pipeline.stages_) {
            if (!matchesAny(stage.selector_, fleet, upstreams))
                appendWarning(text, "pipeline " + pipeline.name_ + " stage " + stage.name_,
                              stage.selector_);
        }
    }
    for (const Policy &policy : fleet.policies_) {
        if (!policy.upstreams_.empty() && !matchesAny(policy.upstreams_, fleet, upstreams))
            appendWarning(text, "policy " + policy.name_, policy.upstreams_);
    }
    return text;
}

leaf::result<OperatorCommand> parseOperatorCommand(const std::string &path, const std::string &body,
                                                   const View &view)
{
    boost::system::error_code error;
    const auto value = boost::json::parse(body, error);
    if (error || !value.is_object())
        return malformedBody(path, "the body is not a JSON object");
    const auto &object = value.as_object();
    if (path == "/v1/fleet")
        return parseApplyFleet(object, path, view);
    if (path == "/v1/labels")
        return parseLabel(object, path);
    if (path == "/v1/drain")
        return parseDrain(object, path);
    if (path == "/v1/evacuations")
        return parseEvacuate(object, path);
    if (path == "/v1/settle")
        return parseSettle(object, path);
    return leaf::new_error(
        Error{ErrorId::UnknownPath, "operator call " + path, "", "no such path"});
}

} // namespace chervilspring
