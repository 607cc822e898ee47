#pragma once

#include "Adapter/json.h"
#include "Http/listener.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace sesame {

/*!
    Emulates the platform's store: objects by kind and name, one revision counter, watches and
    conditional writes.
*/
class EmulatedStore
{
public:
    enum class Fault {
        None,
        Unavailable, //!< Each call is answered with 503.
        NoAnswer //!< No call is answered.
    };
    //! When the platform's own writers write again what a restored store lacks.
    enum class Writers {
        Prompt, //!< At once.
        Late //!< When writeLostObjects() is called, or the test does it.
    };

    EmulatedStore(asio::io_context &context, const Tcp::endpoint &address);

    void setFault(Fault trouble) { m_fault = trouble; }

    /*!
        Executes the next \a writes writes without answering them.
    */
    void loseAnswers(int writes) { m_answersToLose = writes; }

    /*!
        Answers writes to the object \a name of \a kind with 503 from now on, until acceptWrites()
        is called.
    */
    void refuseWrites(const std::string &kind, const std::string &name)
    {
        m_refusedWrites.emplace(kind, name);
    }
    void acceptWrites() { m_refusedWrites.clear(); }

    /*!
        Does not answer the next write to the object \a name of \a kind, and executes it after
        \a delay if its condition still holds then.
    */
    void delayWrite(const std::string &kind, const std::string &name,
                    std::chrono::milliseconds delay)
    {
        m_delayedWrites[{kind, name}] = delay;
    }

    /*!
        Discards the history, so that watches from earlier revisions are refused.
    */
    void compact() { m_oldestRevision = m_revision; }

    /*!
        Keeps a copy of all objects, for restoreCopy().
    */
    void takeCopy() { m_copy = {m_objects, m_revision}; }

    /*!
        Goes back to the copy and raises the era. Revisions after it are given out again. What the
        platform's own writers put or erased since the copy is written again as \a writers says, so
        that only the objects of the system go back in the end.
    */
    void restoreCopy(Writers writers = Writers::Prompt);

    /*!
        Writes again what the platform's own writers had written between the copy and its last
        restoration, unless they have written something else since.
    */
    void writeLostObjects();

    /*!
        Leaves the newest waiting watch of \a kind open without ever answering it. Returns false if
        there is none.
    */
    bool stopAnsweringWatch(const std::string &kind);

    /*!
        Writes \a spec, a JSON text, as the platform's own writers do.
    */
    void put(const std::string &kind, const std::string &name, const std::string &spec);

    /*!
        Writes an object that calls return as \a text, which may be unreadable. The store itself
        knows it as \a name.
    */
    void putText(const std::string &kind, const std::string &name, const std::string &text);
    void erase(const std::string &kind, const std::string &name);

    /*!
        Returns the status of an object as JSON text; empty if there is none.
    */
    std::string status(const std::string &kind, const std::string &name) const;

    std::size_t objectCount(const std::string &kind) const;
    bool contains(const std::string &kind, const std::string &name) const;
    std::int64_t callCount() const { return m_callCount; }

private:
    struct Object
    {
        std::uint64_t revision = 0;
        std::string spec;
        std::string status; //!< Empty if there is none.
        std::string text; //!< Replaces the whole object in answers unless it is empty.
    };
    struct Change
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        bool deleted = false;
        Object object;
    };
    struct Watch
    {
        std::string kind;
        std::uint64_t revision = 0;
        std::weak_ptr<ServerConnection> connection;
        std::unique_ptr<asio::steady_timer> timer;
    };
    using Objects = std::map<std::string, std::map<std::string, Object>>;
    struct Copy
    {
        Objects objects;
        std::uint64_t revision = 1;
    };
    using ConnectionPtr = std::shared_ptr<ServerConnection>;

    void sendJson(const ConnectionPtr &connection, unsigned status, const std::string &body) const;
    void serve(const ConnectionPtr &connection, const RequestMessage &request);
    void serveRead(const ConnectionPtr &connection, const std::string &kind,
                   const std::string &name, const std::map<std::string, std::string> &query);
    void serveWatch(const ConnectionPtr &connection, const std::string &kind,
                    std::uint64_t revision, int waitMs);
    void serveWrite(const ConnectionPtr &connection, const RequestMessage &request,
                    const std::string &kind, const std::string &name);
    std::pair<unsigned, std::string>
    executeWrite(const RequestMessage &request, const std::string &kind, const std::string &target);
    void record(const std::string &kind, const std::string &name, bool deleted);
    bool answerWatch(Watch &watch, bool evenIfEmpty);
    void serveStatus(const ConnectionPtr &connection, const std::string &kind,
                     const std::string &name, const json_t *body);
    static std::string formatObject(const std::string &name, const Object &object);

    asio::io_context &m_context;
    Listener m_listener;
    Fault m_fault = Fault::None;
    int m_answersToLose = 0;
    std::set<std::pair<std::string, std::string>> m_refusedWrites; //!< By kind and name.
    //! Times until the next write is executed, by kind and name.
    std::map<std::pair<std::string, std::string>, std::chrono::milliseconds> m_delayedWrites;
    std::uint64_t m_revision = 1;
    std::uint64_t m_oldestRevision = 1;
    std::uint64_t m_era = 1;
    Objects m_objects;
    Copy m_copy;
    //! Objects before the last restoration, until its writers have written them again.
    std::optional<Objects> m_lostObjects;
    std::uint64_t m_restoredRevision = 0; //!< Revision after the last restoration.
    std::deque<Change> m_history;
    std::vector<std::shared_ptr<Watch>> m_watches;
    std::vector<ConnectionPtr> m_unanswered; //!< Calls that are never answered.
    std::int64_t m_callCount = 0;
};

} // namespace sesame
