#include "chervilspring/detail/process/storage_thread.hpp"

namespace chervilspring {

StorageThread::StorageThread(DiskLog log, std::function<void(std::uint64_t)> onSynced,
                             std::function<void(const Error &)> onFailure)
    : log_(std::move(log)), onSynced_(std::move(onSynced)), onFailure_(std::move(onFailure))
{
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
        const bool stored = handleErrors([&] { return log_.persist(batches); }, onFailure_);
        if (!stored)
            return;
        onSynced_(batches.back().sequence_);
    }
}

} // namespace chervilspring
