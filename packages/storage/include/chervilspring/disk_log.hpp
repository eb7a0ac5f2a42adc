/// @file
/// @brief Persistent log, hard state and snapshot of one control process.
///
/// The data folder holds the files "member" (random id of the folder), "snapshot" (newest snapshot)
/// and "log" (append-only records after the snapshot). A record consists of length, checksum, kind
/// and payload. An incomplete record at the end of the log, as a crash leaves it, is removed when
/// the log is opened. A damaged record that is followed by an intact one is reported as
/// ErrorId::LogDamaged.
#pragma once

#include "chervilspring/error.hpp"
#include "chervilspring/persistence.hpp"

#include <filesystem>
#include <functional>

namespace chervilspring {

/// @brief System calls of the log. Tests replace them to inject failures.
struct DiskCalls
{
    std::function<long(int, const void *, std::size_t)> write_; ///< like write(2)
    std::function<int(int)> sync_; ///< like fdatasync(2)
    /// Called when the disk is full; waits before the write goes on. Returns false to give up.
    /// Empty: a full disk is a failure like any other.
    std::function<bool()> waitForSpace_;
};

/// @brief Returns the real system calls, write(2) and fdatasync(2).
DiskCalls systemDiskCalls();

/// @brief An open data folder. Not thread-safe: it is used by one thread only.
class DiskLog
{
public:
    /// @brief Opens a data folder and loads its state. Initialises the folder if it is empty.
    /// @param folder data folder; created if missing
    /// @param calls system calls
    /// @param founding first state of an empty folder; none: a random id
    /// @return the log and the loaded state, or ErrorId::LogDamaged or ErrorId::StorageFailed
    /// @since 0.1.0
    static leaf::result<std::pair<DiskLog, LoadedState>>
    open(const std::filesystem::path &folder, DiskCalls calls,
         const std::optional<FoundingState> &founding = std::nullopt);

    DiskLog(DiskLog &&other) noexcept;
    DiskLog &operator=(DiskLog &&other) noexcept;
    ~DiskLog();

    /// @brief Sets DiskCalls::waitForSpace_.
    void setWaitForSpace(std::function<bool()> wait) { calls_.waitForSpace_ = std::move(wait); }

    /// @brief Writes batches and makes them durable with one sync.
    ///
    /// Waits for space while the disk is full. Only a snapshot whose entries the log holds does not
    /// wait: it is left out, and the log keeps the entries until the next snapshot.
    /// @param batches the batches in order
    /// @return ErrorId::StorageFailed on any failure; the log must not be used after that
    leaf::result<void> persist(const std::vector<PersistBatch> &batches);

private:
    enum class OnFullDisk : std::uint8_t { Wait, GiveUp };

    DiskLog(std::filesystem::path folder, DiskCalls calls);
    /// @brief Waits for space if the last call failed on a full disk and waiting is allowed.
    /// @return whether to repeat that call
    bool waitedForSpace(OnFullDisk onFullDisk) const;
    /// @brief Writes bytes to a file.
    /// @return false if the disk is full and onFullDisk forbids to wait
    leaf::result<bool> writeAll(int file, const std::string &bytes, const char *step,
                                OnFullDisk onFullDisk);
    /// @brief Replaces a file of the folder atomically, by a synced temporary file and a rename.
    /// @return false if the disk is full and onFullDisk forbids to wait; the file is unchanged
    leaf::result<bool> replaceFile(const char *name, const std::string &bytes,
                                   OnFullDisk onFullDisk);
    /// @brief Stores a snapshot and a new log that holds hardState_ and tail_.
    /// @return false if the log could not be replaced; it has to be appended to
    leaf::result<bool> storeSnapshot(const Snapshot &snapshot, OnFullDisk onFullDisk);
    leaf::result<void> appendToLog(const std::string &bytes);
    /// @brief Tells whether the log holds all entries that the snapshot of a batch covers.
    bool coversSnapshot(const PersistBatch &batch) const;
    leaf::result<void> openLog();
    /// @brief Applies a batch to hardState_, snapshotIndex_ and tail_.
    void updateTail(const PersistBatch &batch);

    std::filesystem::path folder_;
    DiskCalls calls_;
    int file_ = -1; ///< descriptor of the log file
    HardState hardState_;
    std::uint64_t snapshotIndex_ = 0; ///< last index of the snapshot; 0: none
    /// Entries after the snapshot: index and encoded entry.
    std::vector<std::pair<std::uint64_t, std::string>> tail_;
};

/// @brief Moves the files of a damaged data folder to a subfolder, so that the process can start as
/// a new member.
/// @param folder the data folder
/// @return the subfolder with the damaged files, or ErrorId::StorageFailed
leaf::result<std::filesystem::path> quarantineDamagedFiles(const std::filesystem::path &folder);

} // namespace chervilspring
