// Tests disk_log.hpp: reopening, incomplete and damaged records, failing disks.
#include "chervilspring/disk_log.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <random>
#include <sstream>

namespace {

using namespace chervilspring;
namespace fs = std::filesystem;

struct TemporaryFolder
{
    explicit TemporaryFolder(const std::string &name)
        : path_(fs::path(CHERVILSPRING_WORK_DIR) / ("disk-" + name))
    {
        fs::remove_all(path_);
    }
    ~TemporaryFolder() { fs::remove_all(path_); }
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

// Opens a log, runs an action on it, and returns the id of the error; 0: no error.
ErrorId runOnLog(const fs::path &path, const DiskCalls &calls,
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
    const ErrorId id = runOnLog(path, systemDiskCalls(), [&](DiskLog &, LoadedState &state) {
        found = state;
        return leaf::result<void>();
    });
    BOOST_TEST((id == ErrorId{}));
    return found;
}

void write(const fs::path &path, const std::vector<PersistBatch> &batches)
{
    const ErrorId id = runOnLog(path, systemDiskCalls(),
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

BOOST_AUTO_TEST_CASE(persisted_state_is_loaded_again)
{
    const TemporaryFolder folder("reopen");
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

struct FoundingRow
{
    const char *description_;
    const char *lostFile_; ///< file that a crash has left out of the founded folder; empty: none
    bool isFounding_; ///< the folder is opened as that of a founding member again
    bool isMember_; ///< it is that of the founding member then
};

std::ostream &operator<<(std::ostream &stream, const FoundingRow &row)
{
    return stream << row.description_;
}

const FoundingRow foundingTable[] = {
    {"opened again", "", false, true},
    {"opened again at the first start", "", true, true},
    {"without an id", "member", false, false},
    {"without an id at the first start", "member", true, true},
};

// Guards against a folder with the id of a founding member that lacks its state.
BOOST_DATA_TEST_CASE(folder_of_a_founding_member_has_its_state,
                     boost::unit_test::data::make(foundingTable), row)
{
    const TemporaryFolder folder("founding");
    FoundingState founding;
    founding.memberId_ = 77;
    founding.snapshot_.emplace();
    founding.snapshot_->cluster_ = 5;
    founding.snapshot_->lastIndex_ = 1;
    founding.snapshot_->members_ = {Member{77, "c1", true}, Member{78, "c2", true}};
    const auto open = [&](bool isFounding) {
        LoadedState loaded;
        handleErrors(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(opened,
                                DiskLog::open(folder.path_, systemDiskCalls(),
                                              isFounding ? std::optional(founding) : std::nullopt));
                loaded = std::move(opened.second);
                return {};
            },
            [](const Error &error) { BOOST_ERROR(toString(error)); });
        return loaded;
    };
    BOOST_TEST(open(true).memberId_ == 77u);
    if (*row.lostFile_ != '\0')
        fs::remove(folder.path_ / row.lostFile_);
    const LoadedState loaded = open(row.isFounding_);
    BOOST_TEST((loaded.memberId_ == 77u) == row.isMember_);
    BOOST_TEST(loaded.hardState_.cluster_ == 5u);
    BOOST_REQUIRE(loaded.snapshot_.has_value());
    BOOST_TEST(loaded.snapshot_->members_.size() == 2u);
}

// A process of the first start that isn't among the first voters keeps the id that tells so.
BOOST_AUTO_TEST_CASE(founding_member_without_a_snapshot_keeps_its_id)
{
    const TemporaryFolder folder("founding-id");
    const FoundingState founding{77, std::nullopt};
    for (const bool isFirstStart : {true, false}) {
        handleErrors(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(
                    opened,
                    DiskLog::open(folder.path_, systemDiskCalls(),
                                  isFirstStart ? std::optional(founding) : std::nullopt));
                BOOST_TEST(opened.second.memberId_ == 77u);
                BOOST_TEST(opened.second.hardState_.cluster_ == 0u);
                BOOST_TEST(!opened.second.snapshot_);
                return {};
            },
            [](const Error &error) { BOOST_ERROR(toString(error)); });
    }
}

BOOST_AUTO_TEST_CASE(snapshot_replaces_entries)
{
    const TemporaryFolder folder("snapshot");
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

BOOST_AUTO_TEST_CASE(incomplete_record_at_the_end_is_removed_at_every_length)
{
    const TemporaryFolder folder("torn");
    write(folder.path_, {batchOf({1, 2, 3})});
    const std::string complete = readAll(folder.path_ / "log");
    for (std::size_t length = 0; length <= complete.size(); ++length) {
        writeAll(folder.path_ / "log", complete.substr(0, length));
        const LoadedState state = load(folder.path_);
        BOOST_TEST(state.entries_.size() <= 3u);
        BOOST_TEST((length < complete.size() || state.entries_.size() == 3));
        // The log accepts new entries after the removal.
        const std::uint64_t next = state.entries_.size() + 1;
        write(folder.path_, {batchOf({next})});
        BOOST_TEST(load(folder.path_).entries_.size() == next);
    }
}

BOOST_AUTO_TEST_CASE(damaged_record_before_an_intact_one_is_reported)
{
    const TemporaryFolder folder("damaged");
    write(folder.path_, {batchOf({1, 2, 3, 4, 5})});
    std::string bytes = readAll(folder.path_ / "log");
    bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 0x40);
    writeAll(folder.path_ / "log", bytes);
    const ErrorId id = runOnLog(folder.path_, systemDiskCalls(),
                                [](DiskLog &, LoadedState &) { return leaf::result<void>(); });
    BOOST_TEST((id == ErrorId::LogDamaged));
    // Without the damaged files, the folder is that of a new member.
    handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_CHECK(quarantineDamagedFiles(folder.path_));
            return {};
        },
        [](const Error &error) { BOOST_ERROR(toString(error)); });
    BOOST_TEST(load(folder.path_).entries_.empty());
}

BOOST_AUTO_TEST_CASE(damaged_snapshot_is_reported)
{
    const TemporaryFolder folder("damaged-snapshot");
    PersistBatch batch;
    batch.snapshot_ = Snapshot{};
    batch.snapshot_->lastIndex_ = 3;
    write(folder.path_, {batch});
    std::string bytes = readAll(folder.path_ / "snapshot");
    bytes[bytes.size() - 1] = static_cast<char>(bytes[bytes.size() - 1] ^ 1);
    writeAll(folder.path_ / "snapshot", bytes);
    const ErrorId id = runOnLog(folder.path_, systemDiskCalls(),
                                [](DiskLog &, LoadedState &) { return leaf::result<void>(); });
    BOOST_TEST((id == ErrorId::LogDamaged));
}

BOOST_AUTO_TEST_CASE(failed_sync_is_reported)
{
    const TemporaryFolder folder("sync");
    write(folder.path_, {batchOf({1})});
    DiskCalls calls = systemDiskCalls();
    calls.sync_ = [](int) {
        errno = EIO;
        return -1;
    };
    const ErrorId id = runOnLog(folder.path_, calls, [](DiskLog &log, LoadedState &) {
        return log.persist({batchOf({2})});
    });
    BOOST_TEST((id == ErrorId::StorageFailed));
}

BOOST_AUTO_TEST_CASE(full_disk_is_reported_and_the_log_can_be_opened_again)
{
    const TemporaryFolder folder("full");
    write(folder.path_, {batchOf({1})});
    DiskCalls calls = systemDiskCalls();
    // The first write is incomplete and the next one fails.
    calls.write_ = [](int file, const void *data, std::size_t size) -> long {
        static int writes = 0;
        if (writes++ > 0) {
            errno = ENOSPC;
            return -1;
        }
        return ::write(file, data, size / 2);
    };
    const ErrorId id = runOnLog(folder.path_, calls, [](DiskLog &log, LoadedState &) {
        return log.persist({batchOf({2, 3})});
    });
    BOOST_TEST((id == ErrorId::StorageFailed));
    BOOST_TEST(load(folder.path_).entries_.size() < 3u);
}

BOOST_AUTO_TEST_CASE(random_damage_does_not_crash)
{
    const TemporaryFolder folder("random");
    write(folder.path_, {batchOf({1, 2, 3, 4})});
    const std::string complete = readAll(folder.path_ / "log");
    std::mt19937_64 random(3);
    for (int round = 0; round < 500; ++round) {
        std::string bytes = complete;
        for (int flips = 0; flips < 4; ++flips)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        writeAll(folder.path_ / "log", bytes);
        runOnLog(folder.path_, systemDiskCalls(), [](DiskLog &, LoadedState &state) {
            BOOST_TEST(state.entries_.size() <= 4u);
            return leaf::result<void>();
        });
    }
}

} // namespace
