#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Http/Message.h"
#include "Limits/ServerNotice.h"
#include "Routes/Tenants.h"
#include "Suspects/Keys.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Relay {

// A caller's request, independent of its encoding except for the parts that are forwarded unchanged.
struct Call {
    Common::RequestId id; // Of this send. A resend by the caller has another id.
    std::string host;
    std::string path; // As received, without the query string. Matched against the routes.
    std::optional<Common::Milliseconds> timeLeft; // The caller's remaining time, if it sent one.
    std::string method;
    std::string target;
    Http::Fields fields; // Headers to forward.
    std::string body;
    std::string identity; // Who asks, from the headers that say so; empty if none does.
    std::string address; // The IP address that the call came from, empty if unknown.
    Suspects::Keys keys; // See keysOf().
    Routes::Credentials credentials;
    std::optional<Common::TenantName> tenant; // Set by identified().
    std::shared_ptr<Http::Caller> caller;
};

// Compute once, where the call arrives. Other instances receive them with it, since they don't see its address.
Suspects::Keys keysOf(const Call&);

using CallPtr = std::shared_ptr<const Call>;

// The headers, in lower case, that carry a caller's key and a tenant's name. Supplied by the front end.
struct TenantHeaders {
    std::string key;
    std::string tenant;
};

// The call under a table with tenants, once its caller is identified: without its key, and without the tenant that it
// named itself. The tenant is null for an anonymous call.
CallPtr identified(const Call&, const Routes::Tenant*, const TenantHeaders&);

// The answer of one backend server.
struct SubAnswer {
    enum class Outcome {
        Success,
        Failure, // The request ran or may have run.
        NotRun, // The server reports that it did not run the request.
        OtherServer, // Another server has this address. It did not run the request.
        Unusable, // Malformed, incomplete, or the answer to another request.
    };

    Outcome outcome { Outcome::Unusable };
    int status { 0 };
    Http::Fields fields; // As received.
    Limits::ServerNotice notice;
    std::string signature; // The server's proof that it ran this request.
    std::string body;
};

// One server's answer, unchanged.
struct Forwarded {
    SubAnswer answer;
};

// A group without an answer.
struct MissingGroup {
    size_t place { 0 }; // Index in the list of requested groups.
    bool isPending { false }; // An answer may still arrive; resume() waits for it.

    friend bool operator==(const MissingGroup&, const MissingGroup&) = default;
};

// The greatest records from the answers of several servers.
struct Merged {
    std::vector<std::string> signatures; // Of the answers received.
    std::vector<MissingGroup> missing;
    std::string body;
};

struct Refusal {
    Common::Error error;
    bool hasNotRun { false }; // No server has run the call, and none will.
    Common::Milliseconds retryAfter; // Set only if hasNotRun.
};

// The caller has disconnected, so no answer is sent.
struct CallerGone { };

using Answer = std::variant<Forwarded, Merged, Refusal, CallerGone>;

// Encodes requests to backend servers and decodes their answers. Supplied by the front end.
struct BackendCodec {
    // Encodes what the requests of a call to all servers share.
    std::function<std::string(const Call&)> encodeHead;
    // Encodes the request for one server. `timeLeft` is passed on as the server's time limit.
    std::function<std::string(
        const std::string& head, const Call&, const Common::BackendServerId&, Common::Milliseconds timeLeft)>
        encode;
    std::function<SubAnswer(const Call&, Http::Response)> decode;
    TenantHeaders tenantHeaders;
};

} // namespace Relay
