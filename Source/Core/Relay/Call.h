#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Http/Message.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Relay {

// A caller's request, free of its encoding but for what is forwarded as it came.
struct Call {
    Common::RequestId id; // Of this send of the caller; a resend has another.
    std::string host;
    std::string path; // As received, without the query: routes are matched against it.
    std::optional<Common::Milliseconds> timeLeft; // How long the caller will wait, if it said so.
    std::string method;
    std::string target;
    Http::Fields fields; // Headers to forward.
    std::string body;
    std::shared_ptr<Http::Caller> caller;
};

using CallPtr = std::shared_ptr<const Call>;

// What one backend server answered.
struct SubAnswer {
    enum class Outcome {
        Success,
        Failure, // It ran, or may have run.
        NotRun, // The server says that it did not run it.
        OtherServer, // Another server has this address; it did not run it.
        Unusable, // Not this request's answer, or not the whole of one.
    };

    Outcome outcome { Outcome::Unusable };
    int status { 0 };
    Http::Fields fields; // Headers to forward.
    std::string signature; // The server's proof that it ran this request.
    std::string body;
};

// One server's answer, whole and unchanged.
struct Forwarded {
    SubAnswer answer;
};

// A group that is left out of an answer.
struct MissingGroup {
    size_t place { 0 }; // In the list that was asked.
    bool isPending { false }; // An answer may still come; resume() waits for it.

    friend bool operator==(const MissingGroup&, const MissingGroup&) = default;
};

// The greatest records of several servers' answers.
struct Merged {
    std::vector<std::string> signatures; // Of the answers that are in.
    std::vector<MissingGroup> missing;
    std::string body;
};

struct Refusal {
    Common::Error error;
    bool hasNotRun { false }; // No server ran it, and none will.
    Common::Milliseconds retryAfter; // Only if it has not run.
};

// The caller has left: there is nobody to answer.
struct CallerGone { };

using Answer = std::variant<Forwarded, Merged, Refusal, CallerGone>;

// How requests and answers of backend servers are encoded. A front end brings its own.
struct BackendCodec {
    // The request for one server. `timeLeft` is what the server is given.
    std::function<Http::Request(const Call&, const Common::BackendServerId&, Common::Milliseconds timeLeft)> encode;
    std::function<SubAnswer(const Call&, Http::Response)> decode;
};

} // namespace Relay
