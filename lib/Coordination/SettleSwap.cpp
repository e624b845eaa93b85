#include "catkinwing/Coordination/SettleSwap.h"

#include <memory>
#include <utility>

namespace catkinwing {

namespace {

    class Settlement : public std::enable_shared_from_this<Settlement> {
    public:
        Settlement(Store& store, Scheduler& scheduler, LostSwap lost, SettleOptions options, std::function<void(SettleResult)> done)
            : m_store(store)
            , m_scheduler(scheduler)
            , m_lost(std::move(lost))
            , m_options(options)
            , m_giveUpAt(scheduler.clock().now() + options.deadline)
            , m_done(std::move(done))
        {
        }

        void readBack()
        {
            auto self = shared_from_this();
            m_store.get(m_lost.key, [self](const absl::StatusOr<StoredValue>& current) { self->onRead(current); });
        }

    private:
        void onRead(const absl::StatusOr<StoredValue>& current)
        {
            if (!current.ok()) {
                retryLater();
                return;
            }
            if (current->revision != 0 && m_lost.holdsWrite(current->value)) {
                finish(SettledOutcome::Committed, current->revision);
                return;
            }
            if (current->revision == m_lost.expected) {
                moveKey(*current);
                return;
            }
            // The expected revision never comes back. A deleted key has forgotten
            // the ids that it held, so there it can't be told whether the write was made.
            bool isProof = m_lost.laterValuesKeepId && current->revision != 0;
            finish(isProof ? SettledOutcome::NotCommitted : SettledOutcome::StillUnknown, 0);
        }

        // Whatever wins on the expected revision, the lost write can't win after it.
        void moveKey(const StoredValue& current)
        {
            auto self = shared_from_this();
            auto done = [self](SwapResult result) { self->onMoved(result); };
            if (m_lost.intent == SettleIntent::Complete) {
                m_store.compareAndSwap(m_lost.key, m_lost.expected, m_lost.value, m_lost.lease, done);
                return;
            }
            const std::string& content = m_lost.expected == 0 ? m_lost.valueToBlockAbsentKey : current.value;
            m_store.compareAndSwap(m_lost.key, m_lost.expected, content, 0, done);
        }

        void onMoved(SwapResult result)
        {
            switch (result.outcome) {
            case SwapOutcome::Committed:
                finish(m_lost.intent == SettleIntent::Complete ? SettledOutcome::Committed : SettledOutcome::NotCommitted, result.revision);
                return;
            case SwapOutcome::Conflict:
                readBack();
                return;
            case SwapOutcome::NotSent:
            case SwapOutcome::Unknown:
                retryLater();
                return;
            }
        }

        void retryLater()
        {
            if (m_scheduler.clock().now() + m_options.retryDelay >= m_giveUpAt) {
                finish(SettledOutcome::StillUnknown, 0);
                return;
            }
            auto self = shared_from_this();
            m_scheduler.callAfter(m_options.retryDelay, [self] { self->readBack(); });
        }

        void finish(SettledOutcome outcome, StoreRevision revision)
        {
            bool isCommitted = outcome == SettledOutcome::Committed;
            m_done({ outcome, isCommitted ? revision : 0 });
        }

        Store& m_store;
        Scheduler& m_scheduler;
        LostSwap m_lost;
        SettleOptions m_options;
        TimePoint m_giveUpAt;
        std::function<void(SettleResult)> m_done;
    };

} // namespace

void settleSwap(Store& store, Scheduler& scheduler, LostSwap lost, SettleOptions options, std::function<void(SettleResult)> done)
{
    std::make_shared<Settlement>(store, scheduler, std::move(lost), options, std::move(done))->readBack();
}

} // namespace catkinwing
