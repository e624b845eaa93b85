#include "catkinwing/Standin/FaultyResponder.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace catkinwing::standin {

constexpr const char* contentTypeField = "content-type";
constexpr const char* notJsonText = "{\"this is not\": JSON,,";

namespace {

    class FaultyResponder final : public HttpResponder, public std::enable_shared_from_this<FaultyResponder> {
    public:
        FaultyResponder(std::shared_ptr<HttpResponder> inner, const FaultPlan& plan, std::function<void()> onCut)
            : m_inner(std::move(inner))
            , m_plan(plan)
            , m_onCut(std::move(onCut))
        {
        }

        void watchCaller();

        void sendHead(const HttpResponseHead& head) override;
        void write(std::string bytes) override;
        void finish() override;
        void abort() override;
        void send(const HttpResponseHead& head, std::string body) override;
        bool isOpen() const override;
        std::size_t pendingBytes() const override;
        void onWritable(std::function<void()> callback) override { m_inner->onWritable(std::move(callback)); }
        void onClosed(std::function<void()> callback) override { m_closed = std::move(callback); }

    private:
        enum class State {
            Open,
            /// The caller gets nothing more, while the work goes on.
            Lost,
            /// The connection is being cut; the work is given up.
            Cut,
            Ended,
        };

        bool cutsInside() const { return m_plan.cutAfterBytes || m_plan.cutAfterEvents; }
        bool reachedCut() const;
        void loseAnswer();
        void sendGarbage(const HttpResponseHead& head);
        void cut();
        void closeWhenSent();
        void tellClosed();

        std::shared_ptr<HttpResponder> m_inner;
        FaultPlan m_plan;
        std::function<void()> m_onCut;
        std::function<void()> m_closed;
        State m_state { State::Open };
    };

} // namespace

void FaultyResponder::watchCaller()
{
    m_inner->onClosed([weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->tellClosed();
    });
}

void FaultyResponder::sendHead(const HttpResponseHead& head)
{
    if (m_state != State::Open)
        return;
    if (m_plan.loseAnswer)
        return loseAnswer();
    if (m_plan.garbage)
        return sendGarbage(head);
    m_inner->sendHead(head);
}

void FaultyResponder::write(std::string bytes)
{
    if (m_state != State::Open)
        return;
    if (m_plan.cutAfterBytes) {
        std::size_t allowed = std::min<std::size_t>(bytes.size(), *m_plan.cutAfterBytes);
        bytes.resize(allowed);
        *m_plan.cutAfterBytes -= static_cast<std::int64_t>(allowed);
    }
    if (m_plan.cutAfterEvents)
        --*m_plan.cutAfterEvents;
    m_inner->write(std::move(bytes));
    if (reachedCut())
        cut();
}

void FaultyResponder::finish()
{
    if (m_state == State::Open)
        m_inner->finish();
    if (m_state != State::Cut)
        m_state = State::Ended;
}

void FaultyResponder::abort()
{
    if (m_state == State::Open)
        m_inner->abort();
    if (m_state != State::Cut)
        m_state = State::Ended;
}

void FaultyResponder::send(const HttpResponseHead& head, std::string body)
{
    bool isPlain = !m_plan.loseAnswer && !m_plan.garbage && !cutsInside();
    if (isPlain) {
        m_inner->send(head, std::move(body));
        m_state = State::Ended;
        return;
    }
    sendHead(head);
    write(std::move(body));
    finish();
}

bool FaultyResponder::isOpen() const
{
    return m_state == State::Lost || (m_state == State::Open && m_inner->isOpen());
}

std::size_t FaultyResponder::pendingBytes() const
{
    return m_state == State::Open ? m_inner->pendingBytes() : 0;
}

bool FaultyResponder::reachedCut() const
{
    return (m_plan.cutAfterBytes && *m_plan.cutAfterBytes <= 0) || (m_plan.cutAfterEvents && *m_plan.cutAfterEvents <= 0);
}

void FaultyResponder::loseAnswer()
{
    m_state = State::Lost;
    m_inner->abort();
    m_onCut();
}

void FaultyResponder::sendGarbage(const HttpResponseHead& head)
{
    m_state = State::Lost;
    const std::string* type = head.headers.find(contentTypeField);
    bool isStream = type && absl::StartsWith(*type, "text/event-stream");
    m_inner->send(head, isStream ? absl::StrCat("data: ", notJsonText, "\n\n") : notJsonText);
}

void FaultyResponder::cut()
{
    m_state = State::Cut;
    m_onCut();
    closeWhenSent();
}

// What was written before the cut is to reach the caller.
void FaultyResponder::closeWhenSent()
{
    if (m_inner->isOpen() && m_inner->pendingBytes() > 0) {
        m_inner->onWritable([self = shared_from_this()] { self->closeWhenSent(); });
        return;
    }
    m_inner->abort();
    tellClosed();
}

void FaultyResponder::tellClosed()
{
    auto closed = std::exchange(m_closed, nullptr);
    if (closed)
        closed();
}

std::shared_ptr<HttpResponder> makeFaultyResponder(std::shared_ptr<HttpResponder> responder, const FaultPlan& plan, std::function<void()> onCut)
{
    auto faulty = std::make_shared<FaultyResponder>(std::move(responder), plan, std::move(onCut));
    faulty->watchCaller();
    return faulty;
}

} // namespace catkinwing::standin
