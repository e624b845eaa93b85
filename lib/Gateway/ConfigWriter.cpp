#include "catkinwing/Gateway/ConfigWriter.h"

#include <absl/strings/str_cat.h>

namespace catkinwing {

ConfigWriter::ConfigWriter(Store& store, Scheduler& scheduler, ConfigKeeper& keeper)
    : m_store(store)
    , m_scheduler(scheduler)
    , m_keeper(keeper)
{
}

void ConfigWriter::apply(ConfigWrite write, DoneCallback done)
{
    if (write.text) {
        ConfigResult<ConfigDocument> parsed = parseDocument(write.path, *write.text);
        if (!parsed.ok()) {
            done({ WriteOutcome::Invalid, 0, std::move(parsed.faults), std::nullopt });
            return;
        }
    }
    auto task = std::make_shared<Task>();
    task->key = absl::StrCat(configKeyPrefix, write.path.toString());
    if (write.text)
        task->value = encodeStoredDocument({ write.writeId, *write.text });
    task->write = std::move(write);
    task->done = std::move(done);
    m_store.get(task->key, [this, task](const absl::StatusOr<StoredValue>& stored) { compare(task, stored, false); });
}

// The store is read first: a write that was repeated because its answer was
// lost is known by its id, and a changed document is told apart from it.
void ConfigWriter::compare(const std::shared_ptr<Task>& task, const absl::StatusOr<StoredValue>& stored, bool isRetried)
{
    if (!stored.ok()) {
        // After a conflict this write has certainly not been made, but whether
        // an earlier sending of it was can't be said.
        task->done({ isRetried ? WriteOutcome::Unknown : WriteOutcome::NotWritten, 0, {}, std::nullopt });
        return;
    }
    bool isPresent = stored->revision != 0;
    StoredDocument document = isPresent ? decodeStoredDocument(stored->value) : StoredDocument {};
    bool isOurs = task->write.text && isPresent && document.writeId == task->write.writeId;
    bool isGone = !task->write.text && !isPresent;
    if (isOurs || isGone) {
        accept(task, stored->revision.number);
        return;
    }
    if (stored->revision.number != task->write.expected) {
        WriteResult result { WriteOutcome::Changed, stored->revision.number, {}, std::nullopt };
        if (isPresent)
            result.current = document.text;
        task->done(std::move(result));
        return;
    }
    if (task->write.text)
        swap(task);
    else
        remove(task);
}

void ConfigWriter::reread(const std::shared_ptr<Task>& task)
{
    m_store.get(task->key, [this, task](const absl::StatusOr<StoredValue>& stored) { compare(task, stored, true); });
}

void ConfigWriter::swap(const std::shared_ptr<Task>& task)
{
    m_store.compareAndSwap(task->key, task->write.expected, task->value, 0, [this, task](SwapResult result) { conclude(task, result); });
}

void ConfigWriter::remove(const std::shared_ptr<Task>& task)
{
    m_store.compareAndDelete(task->key, task->write.expected, [this, task](SwapResult result) { conclude(task, result); });
}

void ConfigWriter::conclude(const std::shared_ptr<Task>& task, SwapResult result)
{
    switch (result.outcome) {
    case SwapOutcome::Committed:
        accept(task, result.revision.number);
        return;
    case SwapOutcome::Conflict:
        reread(task);
        return;
    case SwapOutcome::NotSent:
        task->done({ WriteOutcome::NotWritten, 0, {}, std::nullopt });
        return;
    case SwapOutcome::Unknown:
        break;
    }
    // Deleting twice is harmless: the operator sends the write again.
    if (task->write.text)
        settleWrite(task);
    else
        task->done({ WriteOutcome::Unknown, 0, {}, std::nullopt });
}

void ConfigWriter::settleWrite(const std::shared_ptr<Task>& task)
{
    LostSwap lost;
    lost.key = task->key;
    lost.expected = task->write.expected;
    lost.value = task->value;
    lost.holdsWrite = [id = task->write.writeId](absl::string_view stored) { return decodeStoredDocument(stored).writeId == id; };
    lost.intent = SettleIntent::Complete;
    settleSwap(m_store, m_scheduler, std::move(lost), {}, [this, task](SettleResult result) {
        switch (result.outcome) {
        case SettledOutcome::Committed:
            accept(task, result.revision.number);
            return;
        case SettledOutcome::NotCommitted:
            reread(task);
            return;
        case SettledOutcome::StillUnknown:
            task->done({ WriteOutcome::Unknown, 0, {}, std::nullopt });
            return;
        }
    });
}

void ConfigWriter::accept(const std::shared_ptr<Task>& task, std::int64_t revision)
{
    // A deletion that was found done has no revision of its own here; the watch
    // brings its tombstone.
    if (revision > 0)
        m_keeper.offerOwnWrite(task->write.path, revision, task->write.text);
    task->done({ WriteOutcome::Accepted, revision, {}, std::nullopt });
}

} // namespace catkinwing
