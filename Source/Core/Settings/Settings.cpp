#include "Settings/Settings.h"

#include "Settings/YamlReader.h"

#include <algorithm>

using Common::Milliseconds;
using Common::Result;

namespace Settings {

namespace {

    constexpr double maximumDurationMs = 600'000;
    constexpr int maximumThreads = 256;
    // For the last answers of a stop and the end of the process.
    constexpr Milliseconds endTime { 2'000 };

    bool isAddress(const std::string& text)
    {
        auto colon = text.rfind(':');
        if (colon == std::string::npos || !colon || colon + 1 == text.size())
            return false;
        std::string port = text.substr(colon + 1);
        return port.size() <= 5
            && std::all_of(port.begin(), port.end(), [](unsigned char c) { return std::isdigit(c); })
            && std::stoi(port) <= 65'535;
    }

    Common::Address readAddress(Section& section, const std::string& field, const Common::Address& fallback)
    {
        std::string text = section.text(field, fallback.value());
        if (!isAddress(text))
            section.reportProblem(field, "'" + text + "'", "IP:PORT");
        return Common::Address(text);
    }

    Milliseconds readDuration(Section& section, const std::string& field, Milliseconds fallback, double low = 1)
    {
        return Milliseconds(section.number(field, fallback.value(), low, maximumDurationMs));
    }

    int readCount(Section& section, const std::string& field, int fallback, int low, int high)
    {
        return static_cast<int>(section.integer(field, fallback, low, high));
    }

    void readRoles(Section& root, Daemon& daemon)
    {
        for (const std::string& role : root.texts("roles")) {
            if (role == "entry")
                daemon.isEntry = true;
            else if (role == "control")
                daemon.isControl = true;
            else if (role == "relay")
                daemon.isRelay = true;
            else
                root.reportProblem("roles", "'" + role + "'", "entry, control or relay");
        }
        if (!daemon.isEntry && !daemon.isControl && !daemon.isRelay)
            root.reportProblem("roles", "empty", "entry, control or relay");
    }

    void readPeer(Section section, Peer& peer)
    {
        peer.listen = readAddress(section, "listen", peer.listen);
        peer.threads = readCount(section, "threads", peer.threads, 1, maximumThreads);
        peer.heartbeat = readDuration(section, "heartbeat_ms", peer.heartbeat, 10);
        peer.silenceTimeout = readDuration(section, "silence_ms", peer.silenceTimeout, 20);
        if (peer.heartbeat * 2 > peer.silenceTimeout)
            section.reportProblem("heartbeat_ms", std::to_string(peer.heartbeat.value()), "at most half of silence_ms");
        section.rejectUnknownFields();
    }

    void readHttp(Section section, Http& http)
    {
        http.listen = readAddress(section, "listen", http.listen);
        http.threads = readCount(section, "threads", http.threads, 1, maximumThreads);
        http.maximumBody
            = Common::Bytes(section.integer("maximum_body_bytes", http.maximumBody.value(), 1024, 1 << 30));
        http.bodyTimeout = readDuration(section, "body_timeout_ms", http.bodyTimeout);
        section.rejectUnknownFields();
    }

    void readMembers(Section& section, Control& control)
    {
        for (Section& item : section.sections("members")) {
            ControlMember member;
            member.instance = Common::InstanceId(item.text("instance"));
            member.address = readAddress(item, "address", Common::Address());
            item.rejectUnknownFields();
            auto isDuplicate = [&](const ControlMember& other) { return other.instance == member.instance; };
            if (std::any_of(control.members.begin(), control.members.end(), isDuplicate))
                item.reportProblem("instance", "'" + member.instance.value() + "' twice", "each instance once");
            control.members.push_back(member);
        }
        if (control.members.empty() == control.seeds.empty())
            section.reportProblem("members", control.members.empty() ? "empty" : "given together with seeds",
                "the control instances, an odd number of them, or seeds");
    }

    void readSeeds(Section& section, Control& control)
    {
        for (const std::string& seed : section.texts("seeds")) {
            if (!isAddress(seed))
                section.reportProblem("seeds", "'" + seed + "'", "IP:PORT");
            control.seeds.emplace_back(seed);
        }
        control.bootstrap = section.flag("found", control.bootstrap);
        control.toleratedDiskLosses = readCount(section, "tolerated", control.toleratedDiskLosses, 0, 4);
    }

    void readControl(Section section, Control& control)
    {
        readSeeds(section, control);
        readMembers(section, control);
        control.claimShards = readCount(section, "claim_shards", control.claimShards, 0, 64);
        control.electionTimeout = readDuration(section, "election_timeout_ms", control.electionTimeout, 50);
        control.heartbeat = readDuration(section, "heartbeat_ms", control.heartbeat, 5);
        control.lease = readDuration(section, "lease_ms", control.lease, 100);
        control.renewal = readDuration(section, "renewal_ms", control.renewal, 10);
        control.snapshotEvery = section.integer("snapshot_every", control.snapshotEvery, 10, 100'000'000);
        control.keptEntries = section.integer("kept_entries", control.keptEntries, 1, 1'000'000);
        control.rememberedChanges = section.integer("remembered_changes", control.rememberedChanges, 1, 10'000'000);
        control.rememberedClaims = section.integer("remembered_claims", control.rememberedClaims, 1, 100'000'000);
        if (control.heartbeat * 2 > control.electionTimeout)
            section.reportProblem(
                "heartbeat_ms", std::to_string(control.heartbeat.value()), "at most half of election_timeout_ms");
        if (control.renewal * 2 > control.lease)
            section.reportProblem("renewal_ms", std::to_string(control.renewal.value()), "at most half of lease_ms");
        section.rejectUnknownFields();
    }

    void readEntry(Section section, Entry& entry)
    {
        entry.gossipInterval = readDuration(section, "gossip_interval_ms", entry.gossipInterval, 10);
        entry.announcementTimeout = readDuration(section, "announcement_timeout_ms", entry.announcementTimeout, 100);
        entry.connectionSettle = readDuration(section, "connection_settle_ms", entry.connectionSettle, 0);
        entry.hedging = section.flag("hedging", entry.hedging);
        entry.attempts = readCount(section, "attempts", entry.attempts, 1, 10);
        entry.returnMargin = readDuration(section, "return_margin_ms", entry.returnMargin, 0);
        section.rejectUnknownFields();
    }

    void readRelay(Section section, Relay& relay)
    {
        relay.returnMargin = readDuration(section, "return_margin_ms", relay.returnMargin, 0);
        relay.processorShare
            = Common::Ratio(section.number("processor_share", relay.processorShare.value(), 0.01, 1'000));
        relay.retryRatio = Common::Ratio(section.number("repeat_ratio", relay.retryRatio.value(), 0, 1));
        relay.retryMinimum = section.number("repeat_minimum", relay.retryMinimum, 0, 1e6);
        relay.retryWindow = readDuration(section, "repeat_window_ms", relay.retryWindow, 100);
        relay.priorities = section.flag("priorities", relay.priorities);
        relay.pace = section.flag("pace", relay.pace);
        relay.quotaWindow = Milliseconds(1'000
            * section.number("quota_window_s", relay.quotaWindow.value() / 1'000, 0.1, maximumDurationMs / 1'000));
        relay.quotaOverrun = section.number("quota_overrun", relay.quotaOverrun, 0, 10);
        relay.quotaSlack = section.number("quota_slack", relay.quotaSlack, 0, 1e6);
        section.rejectUnknownFields();
    }

    void readRoster(Section section, Roster& roster)
    {
        roster.silenceTimeout = readDuration(section, "silence_ms", roster.silenceTimeout, 100);
        roster.drainTime = readDuration(section, "drain_ms", roster.drainTime, 100);
        section.rejectUnknownFields();
    }

    Common::Address readOptionalAddress(Section& section, const std::string& field)
    {
        std::string text = section.text(field, "");
        if (!text.empty() && !isAddress(text))
            section.reportProblem(field, "'" + text + "'", "IP:PORT or nothing");
        return Common::Address(text);
    }

    void readFrontEnd(Section section, FrontEnd& frontEnd)
    {
        frontEnd.callers = readOptionalAddress(section, "callers");
        frontEnd.readiness = readOptionalAddress(section, "readiness");
        frontEnd.control = readOptionalAddress(section, "control");
        frontEnd.metrics = readOptionalAddress(section, "metrics");
        section.rejectUnknownFields();
    }

    void readStop(Section section, Stop& stop)
    {
        stop.balancerWait = readDuration(section, "balancer_wait_ms", stop.balancerWait, 0);
        if (section.has("finish_bound_ms"))
            stop.finishTimeout = readDuration(section, "finish_bound_ms", Milliseconds(0), 0);
        Milliseconds parts = stop.balancerWait + stop.finishTimeout.value_or(Milliseconds(0));
        // Files of earlier versions lack the field. Their stops were bounded by the parts alone.
        Milliseconds fallback = std::max(stop.grace, parts + endTime);
        stop.grace
            = Milliseconds(1'000 * section.number("grace_s", fallback.value() / 1'000, 0.1, maximumDurationMs / 1'000));
        if (parts >= stop.grace) {
            section.reportProblem("grace_s", std::to_string(stop.grace.value() / 1'000),
                "more than balancer_wait_ms and finish_bound_ms together");
        }
        section.rejectUnknownFields();
    }

    void readLog(Section section, Log& log)
    {
        log.level = section.text("level", log.level);
        static const std::vector<std::string> levels { "debug", "info", "warning", "error" };
        if (std::find(levels.begin(), levels.end(), log.level) == levels.end())
            section.reportProblem("level", "'" + log.level + "'", "debug, info, warning or error");
        log.file = section.text("file", log.file);
        section.rejectUnknownFields();
    }

    void checkControlRole(Section& root, const Daemon& daemon)
    {
        if (!daemon.isControl)
            return;
        if (daemon.dataFolder.empty())
            root.reportProblem("data_folder", "absent", "a folder, for the role control");
        const auto& members = daemon.control.members;
        if (members.empty())
            return;
        auto isSelf = [&](const ControlMember& member) { return member.instance == daemon.instance; };
        if (!members.empty() && std::none_of(members.begin(), members.end(), isSelf))
            root.reportProblem(
                "instance", "'" + daemon.instance.value() + "'", "one of control.members, for the role control");
    }

    Result<Daemon> read(Section root)
    {
        Daemon daemon;
        daemon.instance = Common::InstanceId(root.text("instance"));
        daemon.failureDomain = Common::FailureDomain(root.text("failure_domain"));
        for (const std::string& domain : root.texts("failure_domains"))
            daemon.failureDomains.emplace_back(domain);
        readRoles(root, daemon);
        daemon.dataFolder = root.text("data_folder", "");
        readPeer(root.section("peer"), daemon.peer);
        readHttp(root.section("http"), daemon.http);
        readControl(root.section("control"), daemon.control);
        readEntry(root.section("entry"), daemon.entry);
        readRelay(root.section("relay"), daemon.relay);
        readRoster(root.section("roster"), daemon.roster);
        readFrontEnd(root.section("front_end"), daemon.frontEnd);
        readStop(root.section("stop"), daemon.stop);
        readLog(root.section("log"), daemon.log);
        daemon.timelineEvents = readCount(root, "timeline_events", daemon.timelineEvents, 64, 1 << 20);
        checkControlRole(root, daemon);
        root.rejectUnknownFields();
        BOOST_OUTCOME_TRYV(root.result());
        return daemon;
    }

} // namespace

std::vector<Common::Address> seedPeers(const Daemon& daemon)
{
    const std::string& own = daemon.peer.listen.value();
    std::vector<Common::Address> peers;
    for (const Common::Address& seed : daemon.control.seeds) {
        std::string host = seed.value().substr(0, seed.value().rfind(':'));
        peers.emplace_back(host + own.substr(own.rfind(':')));
    }
    return peers;
}

Result<Daemon> parse(const std::string& file, const std::string& text)
{
    BOOST_OUTCOME_TRY(root, Section::parse(file, text));
    return read(root);
}

Result<Daemon> load(const std::string& file)
{
    BOOST_OUTCOME_TRY(root, Section::load(file));
    return read(root);
}

} // namespace Settings
