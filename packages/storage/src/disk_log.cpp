#include "chervilspring/disk_log.hpp"

#include "chervilspring/codec.hpp"
#include "chervilspring/digest.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace chervilspring {

namespace {

enum class RecordKind : std::uint8_t { HardState = 1, Truncate = 2, Entry = 3, Snapshot = 4 };

constexpr std::size_t headerBytes = sizeof(std::uint32_t) + sizeof(std::uint64_t) + 1;
constexpr auto temporarySuffix = ".new"; // of a file that replaces the one without it
constexpr std::size_t maxPayloadBytes = 1u << 30; // a larger length means damage

leaf::error_id storageError(const std::string &step, const std::filesystem::path &file)
{
    return leaf::new_error(
        Error{ErrorId::StorageFailed, step, file.filename().string(), std::strerror(errno)});
}

bool isDiskFull(int error)
{
    return error == ENOSPC || error == EDQUOT;
}

template<typename T> void put(std::string &bytes, T value)
{
    bytes.append(reinterpret_cast<const char *>(&value), sizeof value);
}

template<typename T> T get(std::string_view bytes, std::size_t offset)
{
    T value{};
    std::memcpy(&value, bytes.data() + offset, sizeof value);
    return value;
}

// Computes the checksum of a record. It covers the kind, too. The factor, 2^64 divided by the
// golden ratio, spreads the kind over all bits.
std::uint64_t checksum(RecordKind kind, std::string_view payload)
{
    return contentDigest(payload) ^ (static_cast<std::uint64_t>(kind) * 0x9e3779b97f4a7c15ull);
}

std::string makeRecord(RecordKind kind, std::string_view payload)
{
    std::string bytes;
    bytes.reserve(headerBytes + payload.size());
    put(bytes, static_cast<std::uint32_t>(payload.size()));
    put(bytes, checksum(kind, payload));
    put(bytes, static_cast<std::uint8_t>(kind));
    bytes.append(payload);
    return bytes;
}

std::string makeHardStateRecord(const HardState &state)
{
    std::string payload;
    put(payload, state.cluster_);
    put(payload, state.term_);
    put(payload, state.vote_);
    return makeRecord(RecordKind::HardState, payload);
}

std::string makeTruncateRecord(std::uint64_t from)
{
    std::string payload;
    put(payload, from);
    return makeRecord(RecordKind::Truncate, payload);
}

struct RecordView
{
    RecordKind kind_;
    std::string_view payload_;
    std::size_t end_; ///< offset of the next record
};

// Returns the record at an offset, if it is complete and its checksum is correct.
std::optional<RecordView> parseRecord(std::string_view bytes, std::size_t offset)
{
    if (bytes.size() - offset < headerBytes)
        return std::nullopt;
    const auto length = get<std::uint32_t>(bytes, offset);
    if (length > maxPayloadBytes || bytes.size() - offset - headerBytes < length)
        return std::nullopt;
    const auto kind = static_cast<RecordKind>(bytes[offset + headerBytes - 1]);
    const auto payload = bytes.substr(offset + headerBytes, length);
    if (get<std::uint64_t>(bytes, offset + sizeof(std::uint32_t)) != checksum(kind, payload))
        return std::nullopt;
    if (kind < RecordKind::HardState || kind > RecordKind::Snapshot)
        return std::nullopt;
    return RecordView{kind, payload, offset + headerBytes + length};
}

bool hasIntactRecordAfter(std::string_view bytes, std::size_t offset)
{
    for (std::size_t next = offset + 1; next + headerBytes < bytes.size(); ++next) {
        if (parseRecord(bytes, next))
            return true;
    }
    return false;
}

std::string readAll(const std::filesystem::path &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

leaf::error_id damagedError(const std::filesystem::path &file, std::size_t offset)
{
    return leaf::new_error(Error{ErrorId::LogDamaged, "read log", file.filename().string(),
                                 "damaged record at byte " + std::to_string(offset)});
}

leaf::result<void> loadHardState(std::string_view payload, LoadedState &state)
{
    if (payload.size() != 3 * sizeof(std::uint64_t))
        return leaf::new_error(
            Error{ErrorId::LogDamaged, "read log", "log", "hard state record has a wrong length"});
    state.hardState_.cluster_ = get<std::uint64_t>(payload, 0);
    state.hardState_.term_ = get<std::uint64_t>(payload, sizeof(std::uint64_t));
    state.hardState_.vote_ = get<std::uint64_t>(payload, 2 * sizeof(std::uint64_t));
    return {};
}

void removeEntriesFrom(std::vector<LogEntry> &entries, std::uint64_t from)
{
    while (!entries.empty() && entries.back().index_ >= from)
        entries.pop_back();
}

leaf::result<void> loadRecord(const RecordView &record, LoadedState &state)
{
    if (record.kind_ == RecordKind::HardState)
        return loadHardState(record.payload_, state);
    if (record.kind_ == RecordKind::Truncate && record.payload_.size() == sizeof(std::uint64_t)) {
        removeEntriesFrom(state.entries_, get<std::uint64_t>(record.payload_, 0));
        return {};
    }
    BOOST_LEAF_AUTO(entry, decodeEntry(record.payload_));
    const std::uint64_t snapshotIndex = state.snapshot_ ? state.snapshot_->lastIndex_ : 0;
    if (entry.index_ <= snapshotIndex)
        return {};
    const std::uint64_t last =
        state.entries_.empty() ? snapshotIndex : state.entries_.back().index_;
    if (entry.index_ != last + 1)
        return leaf::new_error(Error{ErrorId::LogDamaged, "read log", "log",
                                     "entry " + std::to_string(entry.index_) + " follows entry "
                                         + std::to_string(last)});
    state.entries_.push_back(std::move(entry));
    return {};
}

leaf::result<void> loadLog(const std::filesystem::path &file, LoadedState &state)
{
    const std::string bytes = readAll(file);
    std::size_t offset = 0;
    while (offset < bytes.size()) {
        const auto record = parseRecord(bytes, offset);
        if (!record) {
            if (hasIntactRecordAfter(bytes, offset))
                return damagedError(file, offset);
            break;
        }
        BOOST_LEAF_CHECK(loadRecord(*record, state));
        offset = record->end_;
    }
    // After a crash between the writes of a snapshot and of the new log, the old log may hold
    // entries after the snapshot whose term is older than the snapshot's. They are obsolete.
    if (state.snapshot_ && !state.entries_.empty()
        && state.entries_.front().term_ < state.snapshot_->lastTerm_)
        state.entries_.clear();
    state.cutBytes_ = bytes.size() - offset;
    if (state.cutBytes_ > 0)
        std::filesystem::resize_file(file, offset);
    return {};
}

leaf::result<void> loadSnapshot(const std::filesystem::path &file, LoadedState &state)
{
    if (!std::filesystem::exists(file))
        return {};
    const std::string bytes = readAll(file);
    const auto record = parseRecord(bytes, 0);
    if (!record || record->kind_ != RecordKind::Snapshot || record->end_ != bytes.size())
        return damagedError(file, 0);
    BOOST_LEAF_AUTO(snapshot, decodeSnapshot(record->payload_));
    state.snapshot_ = std::move(snapshot);
    return {};
}

leaf::result<std::uint64_t> loadMemberId(const std::filesystem::path &file)
{
    const std::string bytes = readAll(file);
    if (bytes.size() != sizeof(std::uint64_t))
        return damagedError(file, 0);
    return get<std::uint64_t>(bytes, 0);
}

} // namespace

DiskCalls systemDiskCalls()
{
    return {[](int file, const void *data, std::size_t size) { return ::write(file, data, size); },
            [](int file) { return ::fdatasync(file); },
            {}};
}

DiskLog::DiskLog(std::filesystem::path folder, DiskCalls calls)
    : folder_(std::move(folder)), calls_(std::move(calls))
{ }

DiskLog::DiskLog(DiskLog &&other) noexcept
    : folder_(std::move(other.folder_)), calls_(std::move(other.calls_)),
      file_(std::exchange(other.file_, -1)), hardState_(other.hardState_),
      snapshotIndex_(other.snapshotIndex_), tail_(std::move(other.tail_))
{ }

DiskLog &DiskLog::operator=(DiskLog &&other) noexcept
{
    std::swap(folder_, other.folder_);
    std::swap(calls_, other.calls_);
    std::swap(file_, other.file_);
    std::swap(hardState_, other.hardState_);
    std::swap(snapshotIndex_, other.snapshotIndex_);
    std::swap(tail_, other.tail_);
    return *this;
}

DiskLog::~DiskLog()
{
    if (file_ >= 0)
        ::close(file_);
}

leaf::result<std::pair<DiskLog, LoadedState>>
DiskLog::open(const std::filesystem::path &folder, DiskCalls calls,
              const std::optional<FoundingState> &founding)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error)
        return leaf::new_error(Error{ErrorId::StorageFailed, "create folder",
                                     folder.filename().string(), error.message()});
    DiskLog log(folder, std::move(calls));
    // A crash may have left partly written files. They would take space until the next snapshot.
    for (const char *name : {"member", "snapshot", "log"})
        std::filesystem::remove(folder / (std::string(name) + temporarySuffix), error);
    LoadedState state;
    if (!std::filesystem::exists(folder / "member")) {
        // The id comes last: a folder with the id of one of the first voters has its snapshot, too.
        if (founding && founding->snapshot_) {
            log.hardState_.cluster_ = founding->snapshot_->cluster_;
            BOOST_LEAF_CHECK(log.storeSnapshot(*founding->snapshot_, OnFullDisk::Wait));
        }
        std::string id;
        put(id, founding ? founding->memberId_ : randomId());
        BOOST_LEAF_CHECK(log.replaceFile("member", id, OnFullDisk::Wait));
    }
    BOOST_LEAF_ASSIGN(state.memberId_, loadMemberId(folder / "member"));
    BOOST_LEAF_CHECK(loadSnapshot(folder / "snapshot", state));
    BOOST_LEAF_CHECK(loadLog(folder / "log", state));
    log.hardState_ = state.hardState_;
    log.snapshotIndex_ = state.snapshot_ ? state.snapshot_->lastIndex_ : 0;
    for (const LogEntry &entry : state.entries_)
        log.tail_.emplace_back(entry.index_, encodeEntry(entry));
    BOOST_LEAF_CHECK(log.openLog());
    return std::pair<DiskLog, LoadedState>(std::move(log), std::move(state));
}

leaf::result<void> DiskLog::openLog()
{
    if (file_ >= 0)
        ::close(file_);
    file_ = ::open((folder_ / "log").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0640);
    if (file_ < 0)
        return storageError("open log", folder_ / "log");
    return {};
}

// A write that found no space has written nothing, so it can be repeated. A failed sync can't: it
// may have dropped data that was written before.
bool DiskLog::waitedForSpace(OnFullDisk onFullDisk) const
{
    const int error = errno;
    const bool waited = isDiskFull(error) && onFullDisk == OnFullDisk::Wait && calls_.waitForSpace_
        && calls_.waitForSpace_();
    errno = error;
    return waited;
}

leaf::result<bool> DiskLog::writeAll(int file, const std::string &bytes, const char *step,
                                     OnFullDisk onFullDisk)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const long count = calls_.write_(file, bytes.data() + written, bytes.size() - written);
        if (count > 0)
            written += static_cast<std::size_t>(count);
        else if (isDiskFull(errno) && onFullDisk == OnFullDisk::GiveUp)
            return false;
        else if (!waitedForSpace(onFullDisk))
            return storageError(step, folder_);
    }
    return true;
}

leaf::result<bool> DiskLog::replaceFile(const char *name, const std::string &bytes,
                                        OnFullDisk onFullDisk)
{
    const auto temporary = folder_ / (std::string(name) + temporarySuffix);
    int file = -1;
    do {
        file = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0640);
    } while (file < 0 && waitedForSpace(onFullDisk));
    if (file < 0 && isDiskFull(errno) && onFullDisk == OnFullDisk::GiveUp)
        return false;
    if (file < 0)
        return storageError("create file", temporary);
    auto written = writeAll(file, bytes, "write file", onFullDisk);
    const bool isComplete = written && *written;
    const bool synced = isComplete && calls_.sync_(file) == 0;
    const int syncError = errno;
    ::close(file);
    if (!written)
        return written.error();
    if (!isComplete) {
        ::unlink(temporary.c_str());
        return false;
    }
    errno = syncError;
    if (!synced)
        return storageError("sync file", temporary);
    if (::rename(temporary.c_str(), (folder_ / name).c_str()) != 0)
        return storageError("rename file", temporary);
    const int directory = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    const bool directorySynced = directory >= 0 && ::fsync(directory) == 0;
    if (directory >= 0)
        ::close(directory);
    if (!directorySynced)
        return storageError("sync folder", folder_);
    return true;
}

leaf::result<bool> DiskLog::storeSnapshot(const Snapshot &snapshot, OnFullDisk onFullDisk)
{
    BOOST_LEAF_AUTO(stored,
                    replaceFile("snapshot",
                                makeRecord(RecordKind::Snapshot, encodeSnapshot(snapshot)),
                                onFullDisk));
    if (!stored)
        return false;
    std::string bytes = makeHardStateRecord(hardState_);
    for (const auto &[index, entry] : tail_)
        bytes += makeRecord(RecordKind::Entry, entry);
    // Without a new log, the old one still holds the entries after the snapshot, and loading it
    // passes over those before.
    BOOST_LEAF_AUTO(replaced, replaceFile("log", bytes, onFullDisk));
    if (!replaced)
        return false;
    BOOST_LEAF_CHECK(openLog());
    return true;
}

leaf::result<void> DiskLog::appendToLog(const std::string &bytes)
{
    BOOST_LEAF_CHECK(writeAll(file_, bytes, "append to log", OnFullDisk::Wait));
    if (calls_.sync_(file_) != 0)
        return storageError("sync log", folder_ / "log");
    return {};
}

bool DiskLog::coversSnapshot(const PersistBatch &batch) const
{
    const std::uint64_t last = tail_.empty() ? snapshotIndex_ : tail_.back().first;
    return batch.truncateFrom_ == 0 && last >= batch.snapshot_->lastIndex_;
}

void DiskLog::updateTail(const PersistBatch &batch)
{
    if (batch.hardState_)
        hardState_ = *batch.hardState_;
    while (batch.truncateFrom_ > 0 && !tail_.empty() && tail_.back().first >= batch.truncateFrom_)
        tail_.pop_back();
    for (const LogEntry &entry : batch.entries_)
        tail_.emplace_back(entry.index_, encodeEntry(entry));
    if (!batch.snapshot_)
        return;
    snapshotIndex_ = batch.snapshot_->lastIndex_;
    std::erase_if(tail_, [&](const auto &item) { return item.first <= snapshotIndex_; });
}

leaf::result<void> DiskLog::persist(const std::vector<PersistBatch> &batches)
{
    std::string bytes;
    const Snapshot *snapshot = nullptr;
    OnFullDisk onFullDisk = OnFullDisk::GiveUp;
    for (const PersistBatch &batch : batches) {
        if (batch.hardState_)
            bytes += makeHardStateRecord(*batch.hardState_);
        if (batch.truncateFrom_ > 0)
            bytes += makeTruncateRecord(batch.truncateFrom_);
        if (batch.snapshot_ && !coversSnapshot(batch))
            onFullDisk = OnFullDisk::Wait;
        updateTail(batch);
        if (batch.snapshot_) {
            snapshot = &*batch.snapshot_;
            continue;
        }
        // updateTail() has encoded the entries already.
        const std::size_t count = batch.entries_.size();
        const std::size_t first = tail_.size() - count;
        for (std::size_t i = first; i < tail_.size(); ++i)
            bytes += makeRecord(RecordKind::Entry, tail_[i].second);
    }
    if (!calls_.waitForSpace_)
        onFullDisk = OnFullDisk::Wait;
    if (snapshot) {
        // The rewritten log holds the result of all batches, so bytes is not written.
        BOOST_LEAF_AUTO(isLogReplaced, storeSnapshot(*snapshot, onFullDisk));
        if (isLogReplaced)
            return {};
    }
    return appendToLog(bytes);
}

leaf::result<std::filesystem::path> quarantineDamagedFiles(const std::filesystem::path &folder)
{
    std::filesystem::path quarantineFolder;
    std::error_code error;
    for (int number = 1; quarantineFolder.empty() || std::filesystem::exists(quarantineFolder);
         ++number)
        quarantineFolder = folder / ("damaged-" + std::to_string(number));
    std::filesystem::create_directories(quarantineFolder, error);
    for (const char *name : {"member", "snapshot", "log"}) {
        if (!error && std::filesystem::exists(folder / name))
            std::filesystem::rename(folder / name, quarantineFolder / name, error);
    }
    if (error)
        return leaf::new_error(Error{ErrorId::StorageFailed, "move damaged files",
                                     quarantineFolder.filename().string(), error.message()});
    return quarantineFolder;
}

} // namespace chervilspring
