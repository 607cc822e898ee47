#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace sesame {

struct WorkerPoolOptions
{
    std::size_t maxThreads = 1024;
};

/*!
    Runs tasks on threads that are started on demand and then reused. Tasks may block on backend
    servers, so the pool grows to the peak number of concurrent tasks, up to its limit.
*/
class WorkerPool
{
public:
    using Task = std::function<void()>;

    explicit WorkerPool(const WorkerPoolOptions &options);
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /*!
        Queues \a task. The task waits while all threads are busy and the thread limit is reached.
    */
    void submit(Task task);

    /*!
        Completes the queued tasks and joins the threads.
    */
    void stop();

private:
    void runTasks();

    const WorkerPoolOptions m_options;
    std::mutex m_mutex;
    std::condition_variable m_taskAvailable;
    std::deque<Task> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idleThreads = 0;
    bool m_stopping = false;
};

} // namespace sesame
