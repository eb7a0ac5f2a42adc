#include "chervilspring/detail/process/storage_thread.hpp"

#include "chervilspring/log.hpp"

namespace chervilspring {

namespace {

constexpr auto fullDiskRetryInterval = milliseconds(100);

} // namespace

StorageThread::StorageThread(DiskLog log, std::function<void(std::uint64_t)> onSynced,
                             std::function<void(const Error &)> onFailure)
    : log_(std::move(log)), onSynced_(std::move(onSynced)), onFailure_(std::move(onFailure))
{
    log_.setWaitForSpace([this] { return waitForSpace(); });
    thread_ = std::thread([this] { writeLoop(); });
}

StorageThread::~StorageThread()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
}

void StorageThread::submit(PersistBatch batch)
{
    {
        const std::lock_guard lock(mutex_);
        queue_.push_back(std::move(batch));
    }
    wake_.notify_one();
}

std::pair<std::uint64_t, std::uint64_t> StorageThread::syncAndBatchCounts() const
{
    const std::lock_guard lock(mutex_);
    return {syncs_, batches_};
}

bool StorageThread::diskFull() const
{
    const std::lock_guard lock(mutex_);
    return diskFull_;
}

bool StorageThread::waitForSpace()
{
    std::unique_lock lock(mutex_);
    if (!std::exchange(diskFull_, true))
        writeLog(LogLevel::Error, "disk full: appends wait, nothing is acknowledged until then");
    return !wake_.wait_for(lock, fullDiskRetryInterval, [this] { return stopping_; });
}

void StorageThread::leaveFullDisk()
{
    const std::lock_guard lock(mutex_);
    if (std::exchange(diskFull_, false))
        writeLog(LogLevel::Info, "disk has space again");
}

bool StorageThread::stoppedOnFullDisk() const
{
    const std::lock_guard lock(mutex_);
    return diskFull_ && stopping_;
}

void StorageThread::writeLoop()
{
    while (true) {
        std::vector<PersistBatch> batches;
        {
            std::unique_lock lock(mutex_);
            wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
            if (queue_.empty())
                return;
            batches.swap(queue_);
            ++syncs_;
            batches_ += batches.size();
        }
        const bool stored = handleErrors([&] { return log_.persist(batches); },
                                         [this](const Error &error) {
                                             if (!stoppedOnFullDisk())
                                                 onFailure_(error);
                                         });
        if (!stored)
            return;
        leaveFullDisk();
        onSynced_(batches.back().sequence_);
    }
}

} // namespace chervilspring
