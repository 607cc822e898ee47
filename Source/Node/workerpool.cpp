#include "Node/workerpool.h"

#include <utility>

namespace sesame {

WorkerPool::WorkerPool(const WorkerPoolOptions &options) : m_options(options) { }

WorkerPool::~WorkerPool()
{
    stop();
}

void WorkerPool::submit(Task task)
{
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_tasks.size() > m_idleThreads && m_threads.size() < m_options.maxThreads)
        m_threads.emplace_back(&WorkerPool::runTasks, this);
    m_taskAvailable.notify_one();
}

void WorkerPool::stop()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        threads.swap(m_threads);
    }
    m_taskAvailable.notify_all();
    for (std::thread &thread : threads)
        thread.join();
}

void WorkerPool::runTasks()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        ++m_idleThreads;
        m_taskAvailable.wait(lock, [this] {
            return m_stopping || !m_tasks.empty();
        });
        --m_idleThreads;
        if (m_tasks.empty())
            return;
        Task task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace sesame
