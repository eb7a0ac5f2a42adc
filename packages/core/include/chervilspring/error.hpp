/// @file
/// @brief Errors with a stable numeric id, the failed step and the process or file concerned.
#pragma once

#include <boost/describe/enum.hpp>
#include <boost/leaf.hpp>

#include <cstdint>
#include <string>

namespace chervilspring {

namespace leaf = boost::leaf;

/// @brief Stable error ids, documented in docs/errors.md. A number is never reused.
/// @since 0.1.0
enum class ErrorId : std::uint16_t {
    SettingsFile = 1001,
    SettingUnknown = 1002,
    SettingValue = 1003,
    SettingMissing = 1004,
    SelectorSyntax = 1005,
    FleetInvalid = 1006,
    BadJson = 2001,
    BodyTooLarge = 2002,
    UnknownPipeline = 2003,
    BadCredential = 2004,
    BadDeadline = 2005,
    BadIdempotencyKey = 2006,
    UnknownPath = 2007,
    KeyReusedWithOtherBody = 2008,
    KeyPastRetention = 2009,
    AccountLimit = 2010,
    CannotMeetDeadline = 2011,
    NoUpstream = 2012,
    RequestRefused = 2013,
    MethodNotAllowed = 2014,
    DeadlineExceeded = 3001,
    StageFailed = 3002,
    OutcomeUnknown = 3003,
    EntryStopping = 3004,
    ViewTooOld = 3005,
    ControlUnavailable = 3006,
    StillRunning = 3007,
    InternalError = 3008,
    LogDamaged = 4001,
    StorageFailed = 4002,
    NotLeader = 4003,
    VersionConflict = 4004,
    FrameInvalid = 5001,
    PeerRejected = 5002,
    ConnectionFailed = 5003,
};

/// @brief Error object of leaf::result, also reported in logs and answers.
struct Error
{
    ErrorId id_; ///< stable id
    std::string step_; ///< step that failed, such as "settings" or "stage generate"
    std::string peer_; ///< process, upstream or file concerned; empty if none
    std::string detail_; ///< explanation in one sentence
};

/// @brief Formats an error as "CS-1003 step: detail (peer)".
/// @param error the error
/// @return one line without a line break
std::string toString(const Error &error);

/// @brief Calls a function and passes its error, if any, to a callback.
/// @param attempt callable returning leaf::result<void>
/// @param report callable taking const Error &
/// @return true if the function succeeded
template<typename Attempt, typename Report> bool handleErrors(Attempt &&attempt, Report &&report)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(attempt());
            return true;
        },
        [&](const Error &error) {
            report(error);
            return false;
        },
        [&] {
            report(Error{ErrorId::StageFailed, "unknown", "", "unrecognised error"});
            return false;
        });
}

} // namespace chervilspring
