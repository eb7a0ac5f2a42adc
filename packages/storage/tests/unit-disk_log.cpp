// Covers disk_log.hpp: reopening, torn tails, damage, failing disks.
#include "chervilspring/disk_log.hpp"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <random>
#include <sstream>

namespace {

using namespace chervilspring;
namespace fs = std::filesystem;

struct Folder
{
    explicit Folder(const std::string &name)
        : path_(fs::path(CHERVILSPRING_WORK_DIR) / ("disk-" + name))
    {
        fs::remove_all(path_);
    }
    ~Folder() { fs::remove_all(path_); }
    fs::path path_;
};

LogEntry entry(std::uint64_t index, std::uint64_t term = 1)
{
    return LogEntry{index, term, WallTime(milliseconds(index)), Noop{index}};
}

PersistBatch batchOf(std::initializer_list<std::uint64_t> indexes)
{
    PersistBatch batch;
    for (const std::uint64_t index : indexes)
        batch.entries_.push_back(entry(index));
    return batch;
}

// Opens, runs an action, and returns the error that came of it (0: none).
ErrorId with(const fs::path &path, const DiskCalls &calls,
             const std::function<leaf::result<void>(DiskLog &, LoadedState &)> &action)
{
    ErrorId id{};
    handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(opened, DiskLog::open(path, calls));
            return action(opened.first, opened.second);
        },
        [&](const Error &error) { id = error.id_; });
    return id;
}

LoadedState load(const fs::path &path)
{
    LoadedState found;
    const ErrorId id = with(path, systemDiskCalls(), [&](DiskLog &, LoadedState &state) {
        found = state;
        return leaf::result<void>();
    });
    BOOST_TEST((id == ErrorId{}));
    return found;
}

void write(const fs::path &path, const std::vector<PersistBatch> &batches)
{
    const ErrorId id = with(path, systemDiskCalls(),
                            [&](DiskLog &log, LoadedState &) { return log.persist(batches); });
    BOOST_TEST((id == ErrorId{}));
}

std::string readAll(const fs::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path, std::ios::binary).rdbuf();
    return text.str();
}

void writeAll(const fs::path &path, const std::string &bytes)
{
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

BOOST_AUTO_TEST_CASE(what_was_synced_is_found_again)
{
    const Folder folder("reopen");
    PersistBatch batch = batchOf({1, 2, 3});
    batch.hardState_ = HardState{9, 4, 5};
    write(folder.path_, {batch});
    PersistBatch truncated = batchOf({3});
    truncated.truncateFrom_ = 3;
    truncated.entries_[0].term_ = 2;
    write(folder.path_, {truncated});
    const LoadedState state = load(folder.path_);
    BOOST_TEST((state.hardState_ == HardState{9, 4, 5}));
    BOOST_REQUIRE(state.entries_.size() == 3u);
    BOOST_TEST(state.entries_[2].term_ == 2u);
    BOOST_TEST(state.memberId_ == load(folder.path_).memberId_);
    BOOST_TEST(state.memberId_ != 0u);
}

BOOST_AUTO_TEST_CASE(snapshot_replaces_entries)
{
    const Folder folder("snapshot");
    write(folder.path_, {batchOf({1, 2, 3, 4})});
    PersistBatch batch;
    batch.snapshot_ = Snapshot{};
    batch.snapshot_->lastIndex_ = 3;
    batch.snapshot_->lastTerm_ = 1;
    write(folder.path_, {batch, batchOf({5})});
    const LoadedState state = load(folder.path_);
    BOOST_REQUIRE(state.snapshot_);
    BOOST_TEST(state.snapshot_->lastIndex_ == 3u);
    BOOST_REQUIRE(state.entries_.size() == 2u);
    BOOST_TEST(state.entries_[0].index_ == 4u);
}

BOOST_AUTO_TEST_CASE(torn_tail_is_cut_at_every_length)
{
    const Folder folder("torn");
    write(folder.path_, {batchOf({1, 2, 3})});
    const std::string whole = readAll(folder.path_ / "log");
    for (std::size_t length = 0; length <= whole.size(); ++length) {
        writeAll(folder.path_ / "log", whole.substr(0, length));
        const LoadedState state = load(folder.path_);
        BOOST_TEST(state.entries_.size() <= 3u);
        BOOST_TEST((length < whole.size() || state.entries_.size() == 3));
        // The cut log takes new entries.
        const std::uint64_t next = state.entries_.size() + 1;
        write(folder.path_, {batchOf({next})});
        BOOST_TEST(load(folder.path_).entries_.size() == next);
    }
}

BOOST_AUTO_TEST_CASE(damage_in_the_middle_is_refused)
{
    const Folder folder("damaged");
    write(folder.path_, {batchOf({1, 2, 3, 4, 5})});
    std::string bytes = readAll(folder.path_ / "log");
    bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 0x40);
    writeAll(folder.path_ / "log", bytes);
    const ErrorId id = with(folder.path_, systemDiskCalls(),
                            [](DiskLog &, LoadedState &) { return leaf::result<void>(); });
    BOOST_TEST((id == ErrorId::LogDamaged));
    // Set aside, the folder is a new member.
    handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_CHECK(setAsideDamaged(folder.path_));
            return {};
        },
        [](const Error &error) { BOOST_ERROR(toString(error)); });
    BOOST_TEST(load(folder.path_).entries_.empty());
}

BOOST_AUTO_TEST_CASE(damaged_snapshot_is_refused)
{
    const Folder folder("damaged-snapshot");
    PersistBatch batch;
    batch.snapshot_ = Snapshot{};
    batch.snapshot_->lastIndex_ = 3;
    write(folder.path_, {batch});
    std::string bytes = readAll(folder.path_ / "snapshot");
    bytes[bytes.size() - 1] = static_cast<char>(bytes[bytes.size() - 1] ^ 1);
    writeAll(folder.path_ / "snapshot", bytes);
    const ErrorId id = with(folder.path_, systemDiskCalls(),
                            [](DiskLog &, LoadedState &) { return leaf::result<void>(); });
    BOOST_TEST((id == ErrorId::LogDamaged));
}

BOOST_AUTO_TEST_CASE(failed_sync_is_reported)
{
    const Folder folder("sync");
    write(folder.path_, {batchOf({1})});
    DiskCalls calls = systemDiskCalls();
    calls.sync_ = [](int) {
        errno = EIO;
        return -1;
    };
    const ErrorId id = with(folder.path_, calls, [](DiskLog &log, LoadedState &) {
        return log.persist({batchOf({2})});
    });
    BOOST_TEST((id == ErrorId::StorageFailed));
}

BOOST_AUTO_TEST_CASE(full_disk_is_reported_and_leaves_a_tail_that_can_be_cut)
{
    const Folder folder("full");
    write(folder.path_, {batchOf({1})});
    DiskCalls calls = systemDiskCalls();
    calls.write_ = [](int file, const void *data, std::size_t size) -> long {
        static int writes = 0;
        if (writes++ > 0) {
            errno = ENOSPC;
            return -1;
        }
        return ::write(file, data, size / 2);
    };
    const ErrorId id = with(folder.path_, calls, [](DiskLog &log, LoadedState &) {
        return log.persist({batchOf({2, 3})});
    });
    BOOST_TEST((id == ErrorId::StorageFailed));
    BOOST_TEST(load(folder.path_).entries_.size() < 3u);
}

BOOST_AUTO_TEST_CASE(random_bytes_never_crash)
{
    const Folder folder("random");
    write(folder.path_, {batchOf({1, 2, 3, 4})});
    const std::string whole = readAll(folder.path_ / "log");
    std::mt19937_64 random(3);
    for (int round = 0; round < 500; ++round) {
        std::string bytes = whole;
        for (int flips = 0; flips < 4; ++flips)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        writeAll(folder.path_ / "log", bytes);
        with(folder.path_, systemDiskCalls(), [](DiskLog &, LoadedState &state) {
            BOOST_TEST(state.entries_.size() <= 4u);
            return leaf::result<void>();
        });
    }
}

} // namespace
