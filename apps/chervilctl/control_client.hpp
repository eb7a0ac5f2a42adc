/// @file
/// @brief HTTP calls to control processes and entries.
#pragma once

#include "chervilspring/detail/net/http_client.hpp"
#include "chervilspring/error.hpp"

#include <boost/json.hpp>

namespace chervilctl {

/// @brief An IP address and port given on the command line.
struct HostPort
{
    std::string host_;
    std::uint16_t port_ = 0;
};

/// @brief Parses "IP:PORT,IP:PORT".
/// @return the addresses, or ErrorId::SettingValue
chervilspring::leaf::result<std::vector<HostPort>> parseHosts(const std::string &text);

/// @brief HTTP status and JSON body of a response.
struct ControlAnswer
{
    unsigned status_ = 0;
    boost::json::value body_;
};

/// @brief Calls the control process that is the leader.
///
/// Tries the addresses in turn until one responds as the leader, for at most about 10 s. A command
/// may be sent more than once; its operation id keeps it from being applied twice.
/// @param hosts control processes
/// @param credential operator credential
/// @param method "GET" or "POST"
/// @param path such as "/v1/status"
/// @param body JSON text, empty for GET
/// @return the response, or ErrorId::ConnectionFailed with the last error
chervilspring::leaf::result<ControlAnswer>
callLeader(const std::vector<HostPort> &hosts, const std::string &credential,
           const std::string &method, const std::string &path, const std::string &body);

/// @brief Calls a process once.
/// @param host address of the process
/// @param credential operator credential, empty if none is required
/// @param method "GET" or "POST"
/// @param path such as "/v1/usage"
/// @param body JSON text, empty for GET
/// @return the response, or ErrorId::ConnectionFailed
chervilspring::leaf::result<ControlAnswer>
callHost(const HostPort &host, const std::string &credential, const std::string &method,
         const std::string &path, const std::string &body);

} // namespace chervilctl
