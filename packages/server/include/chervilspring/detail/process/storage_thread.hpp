/// @file
/// @brief Writes batches of a control process to disk on a dedicated thread.
///
/// All batches that were queued during a sync are written by the next one (group commit). While the
/// disk is full, batches wait, as on a slow disk. Any other failure must end the process: data that
/// was acknowledged as persistent may be missing on disk.
#pragma once

#include "chervilspring/disk_log.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace chervilspring {

/// @brief Owns the disk log of a control process and the thread that writes it.
class StorageThread
{
public:
    /// @param log open log in the data folder
    /// @param onSynced called on the storage thread after each sync, with the sequence number of
    /// the last batch on disk
    /// @param onFailure called on the storage thread when a write fails for another reason than a
    /// full disk; it must end the process
    StorageThread(DiskLog log, std::function<void(std::uint64_t)> onSynced,
                  std::function<void(const Error &)> onFailure);
    /// @brief Writes the batches that are still queued, unless the disk is full, and ends the
    /// thread.
    ~StorageThread();
    StorageThread(const StorageThread &) = delete;
    StorageThread &operator=(const StorageThread &) = delete;

    /// @brief Queues a batch. Returns before it is on disk. Thread-safe.
    void submit(PersistBatch batch);

    /// @brief Returns how much was written since the start, for metrics. Thread-safe.
    /// @return first: number of syncs; second: number of batches
    std::pair<std::uint64_t, std::uint64_t> syncAndBatchCounts() const;

    /// @brief Whether a batch waits because the disk is full. Thread-safe.
    bool diskFull() const;

private:
    void writeLoop();
    bool waitForSpace();
    void leaveFullDisk(); ///< notes that the disk has space again
    bool stoppedOnFullDisk() const;

    DiskLog log_;
    std::function<void(std::uint64_t)> onSynced_;
    std::function<void(const Error &)> onFailure_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::vector<PersistBatch> queue_;
    std::uint64_t syncs_ = 0;
    std::uint64_t batches_ = 0;
    bool diskFull_ = false; ///< a batch waits for space
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace chervilspring
