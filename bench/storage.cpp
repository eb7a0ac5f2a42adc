/// @file
/// @brief Time of syncs, group commit and recovery of the replicated log on a local disk.
///
/// Usage: bench_storage FOLDER. Prints CSV: size,what,value,unit.
#include "chervilspring/detail/control/fleet_state.hpp"
#include "chervilspring/disk_log.hpp"

#include <cstdio>
#include <iostream>

namespace {

using namespace chervilspring;
namespace fs = std::filesystem;

LogEntry makeEntry(std::uint64_t index)
{
    Record record;
    record.key_ = RecordKey{"account-1", "honey-order",
                            "1764826201-" + std::to_string(index) + "-0123456789abcdef"};
    record.attempt_ = AttemptId{RequestId{"e1.0", 1, index}, 1, 0};
    record.upstream_ = "order-booking-1";
    return LogEntry{index, 1, WallTime{}, ReserveRecord{record}};
}

double secondsSince(Instant start)
{
    return static_cast<double>((BootClock::now() - start).count()) / 1e9;
}

void printError(const Error &error)
{
    std::cerr << toString(error) << "\n";
}

void benchGroupCommit(const fs::path &folder, std::uint64_t groupSize)
{
    constexpr int syncCount = 200;
    fs::remove_all(folder);
    handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(opened, DiskLog::open(folder, systemDiskCalls()));
            std::uint64_t index = 0;
            const Instant start = BootClock::now();
            for (int i = 0; i < syncCount; ++i) {
                std::vector<PersistBatch> batches(groupSize);
                for (PersistBatch &batch : batches)
                    batch.entries_.push_back(makeEntry(++index));
                BOOST_LEAF_CHECK(opened.first.persist(batches));
            }
            const double elapsedSeconds = secondsSince(start);
            std::printf("%llu,sync,%.1f,us_per_sync\n", static_cast<unsigned long long>(groupSize),
                        elapsedSeconds / syncCount * 1e6);
            std::printf("%llu,commits,%.0f,per_second\n",
                        static_cast<unsigned long long>(groupSize),
                        static_cast<double>(index) / elapsedSeconds);
            return {};
        },
        printError);
}

void benchRecovery(const fs::path &folder, std::uint64_t entryCount)
{
    fs::remove_all(folder);
    handleErrors(
        [&]() -> leaf::result<void> {
            {
                BOOST_LEAF_AUTO(opened, DiskLog::open(folder, systemDiskCalls()));
                PersistBatch batch;
                for (std::uint64_t i = 1; i <= entryCount; ++i)
                    batch.entries_.push_back(makeEntry(i));
                BOOST_LEAF_CHECK(opened.first.persist({batch}));
            }
            const Instant start = BootClock::now();
            BOOST_LEAF_AUTO(opened, DiskLog::open(folder, systemDiskCalls()));
            FleetState state;
            for (const LogEntry &entry : opened.second.entries_)
                apply(state, entry);
            std::printf("%llu,recovery,%.2f,ms\n", static_cast<unsigned long long>(entryCount),
                        secondsSince(start) * 1e3);
            return {};
        },
        printError);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: bench_storage FOLDER\n";
        return 1;
    }
    const fs::path folder = fs::path(argv[1]) / "bench-log";
    std::printf("size,what,value,unit\n");
    for (const std::uint64_t groupSize : {1, 4, 16, 64, 256})
        benchGroupCommit(folder, groupSize);
    for (const std::uint64_t entryCount : {1000, 4000, 16000, 64000})
        benchRecovery(folder, entryCount);
    fs::remove_all(folder);
    return 0;
}
