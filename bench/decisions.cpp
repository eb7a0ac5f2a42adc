/// @file
/// @brief CPU time and memory of the decision code by fleet size, in one process and without
/// sockets.
///
/// Usage: bench_decisions. Prints CSV: role,size,what,value,unit.
#include "chervilspring/codec.hpp"
#include "chervilspring/detail/agent/agent.hpp"
#include "chervilspring/detail/control/fleet_state.hpp"
#include "chervilspring/detail/entry/entry.hpp"
#include "chervilspring/detail/node/node.hpp"
#include "chervilspring/digest.hpp"

#include <cstdio>
#include <fstream>
#include <functional>

namespace {

using namespace chervilspring;

constexpr int iterations = 4000;
// Numbers of accounts and pipelines in the fleet of target size.
constexpr int accountCount = 210;
constexpr int pipelineCount = 7;
constexpr int stageCount = 4; // stages of each pipeline

double cpuSeconds()
{
    timespec value{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) / 1e9;
}

double residentBytes()
{
    constexpr double pageBytes = 4096;
    std::ifstream file("/proc/self/statm");
    double pages = 0;
    file >> pages >> pages; // the second field is the resident set size
    return pages * pageBytes;
}

void print(const char *role, int size, const char *what, double value, const char *unit)
{
    std::printf("%s,%d,%s,%.3f,%s\n", role, size, what, value, unit);
}

Fleet makeFleet()
{
    Fleet fleet;
    for (int p = 0; p < pipelineCount; ++p) {
        PipelineSpec pipeline;
        pipeline.name_ = "p" + std::to_string(p);
        pipeline.deadline_ = milliseconds(7000);
        for (int s = 0; s < stageCount; ++s)
            pipeline.stages_.push_back(StageSpec{"s" + std::to_string(s),
                                                 "service=s" + std::to_string(s), true, false,
                                                 milliseconds(10), 1});
        fleet.pipelines_.push_back(pipeline);
    }
    for (int a = 0; a < accountCount; ++a) {
        Account account;
        account.name_ = "account-" + std::to_string(a);
        account.salt_ = "salt" + std::to_string(a);
        account.credentialDigest_ = credentialDigest(account.salt_, account.name_);
        account.requestsPerSecond_ = 1000000;
        account.concurrency_ = 100000;
        fleet.accounts_.push_back(account);
    }
    return fleet;
}

Upstream makeUpstream(int number)
{
    Upstream upstream;
    upstream.name_ = "upstream-" + std::to_string(number);
    upstream.dataCenter_ = "dc" + std::to_string(number % 8);
    upstream.agentAddress_ = "10.0.0.1";
    upstream.agentPort_ = 7000;
    upstream.agentBoot_ = 1;
    upstream.concurrency_ = 8;
    upstream.phase_ = UpstreamPhase::Serving;
    upstream.labels_ = {{"service", "s" + std::to_string(number % stageCount)}, {"model", "m1"}};
    return upstream;
}

ViewPointer makeView(int upstreams)
{
    auto view = std::make_shared<View>();
    view->version_ = view->fleetVersion_ = 1;
    view->fleet_ = makeFleet();
    for (int i = 0; i < upstreams; ++i)
        view->upstreams_.push_back(makeUpstream(i));
    std::sort(view->upstreams_.begin(), view->upstreams_.end(),
              [](const Upstream &a, const Upstream &b) { return a.name_ < b.name_; });
    return view;
}

// Runs complete requests through an entry; each dispatch is answered immediately. Returns the CPU
// time in seconds.
double runEntry(EntryState &state, int requestCount)
{
    Instant now(seconds(1000));
    const double start = cpuSeconds();
    for (int i = 0; i < requestCount; ++i) {
        CallerRequest request;
        request.token_ = static_cast<std::uint64_t>(i) + 1;
        request.pipeline_ = "p" + std::to_string(i % pipelineCount);
        request.credential_ = "account-" + std::to_string(i % accountCount);
        request.body_ = "{\"question\":\"q\"}";
        EntryEvent event = request;
        bool finished = false;
        while (!finished) {
            EntryEffects effects;
            reduce(state, now, WallTime{}, event, effects);
            finished = true;
            for (EntryEffect &effect : effects) {
                auto *send = std::get_if<SendToPeer>(&effect);
                if (!send)
                    continue;
                const auto &dispatch = std::get<Dispatch>(send->message_);
                AttemptResult result;
                result.id_ = dispatch.id_;
                result.agentBoot_ = dispatch.agentBoot_;
                result.body_ = dispatch.body_;
                result.bodyLength_ = dispatch.body_.size();
                result.bodyDigest_ = dispatch.bodyDigest_;
                result.serviceTime_ = milliseconds(10);
                event = PeerMessage{send->peer_, result};
                finished = false;
            }
            now += microseconds(1);
        }
    }
    return cpuSeconds() - start;
}

void benchEntry(int upstreams)
{
    EntrySettings settings;
    settings.name_ = "e1";
    settings.dataCenter_ = "dc1";
    settings.boot_ = 1;
    const double bytesBefore = residentBytes();
    EntryState state = makeEntry(settings);
    EntryEffects effects;
    const Instant now(seconds(999));
    const ViewPointer view = makeView(upstreams);
    reduce(state, now, WallTime{}, ViewChanged{view, now + seconds(10), wholeShare, Instant::max()},
           effects);
    // Not measured: credentials and candidates are looked up once per view.
    runEntry(state, accountCount);
    const double elapsed = runEntry(state, iterations);
    print("entry", upstreams, "decision_cost", elapsed / iterations / stageCount * 1e6,
          "us_per_stage");
    print("entry", upstreams, "view_and_state", (residentBytes() - bytesBefore) / 1024, "KiB");
    const double start = cpuSeconds();
    auto newView = std::make_shared<View>(*view);
    newView->version_ = 2;
    reduce(state, now, WallTime{}, ViewChanged{newView, now, wholeShare, Instant::max()}, effects);
    runEntry(state, pipelineCount);
    print("entry", upstreams, "view_change_cost", (cpuSeconds() - start) * 1e6, "us_per_change");
}

void benchUpdate(int upstreams)
{
    FleetState state;
    state.view_ = *makeView(upstreams);
    const std::string fullUpdate =
        encodeMessage(HeartbeatReply{"c1", {}, true, makeUpdate(state, 0)});
    print("control", upstreams, "full_view", static_cast<double>(fullUpdate.size()), "bytes");
    LogEntry entry{2, 1, WallTime{}, SetLabel{"op", "upstream-1", "tier", "gold"}};
    apply(state, entry);
    const std::uint64_t baseVersion = state.view_.version_;
    entry = LogEntry{3, 1, WallTime{}, SetLabel{"op2", "upstream-2", "tier", "gold"}};
    apply(state, entry);
    const std::string changeUpdate =
        encodeMessage(HeartbeatReply{"c1", {}, true, makeUpdate(state, baseVersion)});
    print("control", upstreams, "one_change", static_cast<double>(changeUpdate.size()), "bytes");
}

void benchRecords(int records)
{
    FleetState state;
    const double bytesBefore = residentBytes();
    const double start = cpuSeconds();
    for (int i = 0; i < records; ++i) {
        Record record;
        record.key_ = RecordKey{"account-1", "honey-order",
                                "1764826201-" + std::to_string(i) + "-0123456789abcdef"};
        record.attempt_ = AttemptId{RequestId{"e1.0", 1, static_cast<std::uint64_t>(i)}, 1, 0};
        record.upstream_ = "order-booking-1";
        const auto index = static_cast<std::uint64_t>(2 * i);
        apply(state, LogEntry{index + 1, 1, WallTime{}, ReserveRecord{record}});
        apply(state,
              LogEntry{index + 2, 1, WallTime{},
                       CompleteRecord{record.key_, record.attempt_, std::string(200, 'r')}});
    }
    print("control", records, "record_cost", (cpuSeconds() - start) / records * 1e6,
          "us_per_reserve_and_complete");
    print("control", records, "record_memory", (residentBytes() - bytesBefore) / records,
          "bytes_each");
    const double snapshotStart = cpuSeconds();
    const std::string snapshot = encodeSnapshot(makeSnapshot(state));
    print("control", records, "snapshot_time", (cpuSeconds() - snapshotStart) * 1e3, "ms");
    print("control", records, "snapshot_size", static_cast<double>(snapshot.size()) / records,
          "bytes_per_record");
}

void benchMessages(int bodyBytes)
{
    Dispatch dispatch;
    dispatch.id_.request_ = RequestId{"e1.0", 1, 1};
    dispatch.pipeline_ = "blend-note";
    dispatch.stageName_ = "generate";
    dispatch.account_ = "meadery-north";
    dispatch.body_ = std::string(static_cast<std::size_t>(bodyBytes), 'x');
    const Message message = dispatch;
    const double start = cpuSeconds();
    std::size_t bytes = 0;
    for (int i = 0; i < iterations; ++i)
        bytes = encodeMessage(message).size();
    const double encodeEnd = cpuSeconds();
    const std::string frame = encodeMessage(message);
    for (int i = 0; i < iterations; ++i)
        static_cast<void>(handleErrors(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_CHECK(decodeMessage(frame));
                return {};
            },
            [](const Error &) {}));
    print("wire", bodyBytes, "encode_dispatch", (encodeEnd - start) / iterations * 1e6, "us");
    print("wire", bodyBytes, "decode_dispatch", (cpuSeconds() - encodeEnd) / iterations * 1e6,
          "us");
    print("wire", bodyBytes, "dispatch_size", static_cast<double>(bytes), "bytes");
    StreamChunk chunk;
    chunk.id_ = dispatch.id_;
    chunk.tokens_ = {" token"};
    const double chunkStart = cpuSeconds();
    for (int i = 0; i < iterations; ++i)
        static_cast<void>(encodeMessage(chunk));
    print("wire", bodyBytes, "encode_token", (cpuSeconds() - chunkStart) / iterations * 1e6, "us");
    print("wire", bodyBytes, "token_size", static_cast<double>(encodeMessage(chunk).size()),
          "bytes");
}

} // namespace

int main()
{
    std::printf("role,size,what,value,unit\n");
    for (const int upstreams : {12, 50, 150, 300, 600})
        benchEntry(upstreams);
    for (const int upstreams : {12, 50, 150, 300, 600})
        benchUpdate(upstreams);
    for (const int records : {1000, 4000, 16000, 64000})
        benchRecords(records);
    for (const int bytes : {64, 512, 4096, 32768})
        benchMessages(bytes);
    return 0;
}
