#pragma once

#include "catkinwing/Support/Scheduler.h"
#include <memory>

namespace catkinwing {

/// The one loop of a process; everything runs on the thread that calls run().
class EventLoop final : public Scheduler {
public:
    explicit EventLoop(const Clock& clock);
    ~EventLoop() override;
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    const Clock& clock() const override;
    TimerId callAfter(Duration delay, Callback callback) override;
    void cancel(TimerId timer) override;

    /// Calls \p callback on the loop each time the process gets signal \p number.
    void onSignal(int number, Callback callback);
    /// Runs until stop() is called.
    void run();
    /// Makes run() return after the current callback.
    void stop();
    /// Runs one turn, waiting at most \p maxWait for something to do.
    void runOnce(std::chrono::milliseconds maxWait);

    struct Impl;
    /// Access for the sources of this package only.
    Impl& impl() { return *m_impl; }

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace catkinwing
