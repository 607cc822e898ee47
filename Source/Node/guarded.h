#pragma once

#include <mutex>
#include <utility>

namespace sesame {

/*!
    A value with the mutex that protects it. The value is only accessible while the mutex is
    locked.
*/
template <typename T>
class Guarded
{
public:
    /*!
        Pointer to the value that holds the lock during its lifetime.
    */
    class Access
    {
    public:
        explicit Access(Guarded &owner) : m_lock(owner.m_mutex), m_value(&owner.m_value) { }
        T *operator->() const { return m_value; }
        T &operator*() const { return *m_value; }

    private:
        std::unique_lock<std::mutex> m_lock;
        T *m_value;
    };

    template <typename... Arguments>
    explicit Guarded(Arguments &&...arguments) : m_value(std::forward<Arguments>(arguments)...)
    {
    }

    /*!
        Locks the mutex and returns access to the value.
    */
    Access lock() { return Access(*this); }

private:
    std::mutex m_mutex;
    T m_value;
};

} // namespace sesame
