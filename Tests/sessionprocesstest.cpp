#include "support/testdeployment.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <regex>

using namespace sesame;
using namespace sesame::test;

namespace {

constexpr const char *goldenFile = PROJECT_DIRECTORY "/Tests/golden/session.txt";

/*!
    Records the requests and responses of a caller. Values that differ between runs are replaced.
*/
class Transcript
{
public:
    explicit Transcript(const std::string &url) : m_url(url) { }

    TestReply call(const std::string &method, const std::string &path, const std::string &body,
                   const std::vector<std::pair<std::string, std::string>> &headers)
    {
        TestReply reply = callUrl(method, m_url + path, body, headers);
        m_text += "> " + method + " " + normalize(path) + "\n";
        if (!body.empty())
            m_text += "> " + body + "\n";
        m_text += "< " + std::to_string(reply.status) + " " + reply.outcome + " "
                + std::to_string(reply.code) + "\n" + normalize(reply.body) + "\n\n";
        return reply;
    }

    const std::string &text() const { return m_text; }

private:
    static std::string normalize(const std::string &text)
    {
        static const std::regex token(R"(("resume_token":"|token=)[A-Za-z0-9_.-]+)");
        static const std::regex address(R"(127\.\d+\.)");
        static const std::regex waiting(": waiting\n\n");
        std::string clean = std::regex_replace(text, token, "$1TOKEN");
        clean = std::regex_replace(clean, address, "127.X.");
        return std::regex_replace(clean, waiting, "");
    }

    std::string m_url;
    std::string m_text;
};

std::string makeChatBody(const char *model, bool stream)
{
    return std::string(R"({"model":")") + model + R"(","max_tokens":3,"stream":)"
            + (stream ? "true" : "false")
            + R"(,"messages":[{"role":"user","content":"kapok fill test"}]})";
}

std::vector<std::pair<std::string, std::string>> makeHeadersWith(const std::string &name,
                                                                 const std::string &value)
{
    auto headers = callerHeaders();
    headers.emplace_back(name, value);
    return headers;
}

void runSession(Transcript &session)
{
    const std::string chat = "/v1/chat/completions";
    session.call("GET", "/v1/entries", {}, {});
    session.call("POST", chat, makeChatBody("loft-assessment", false),
                 makeHeadersWith("X-Request-Id", "whole-1"));
    const TestReply streamed = session.call("POST", chat, makeChatBody("fibre-check", true),
                                            makeHeadersWith("X-Request-Id", "stream-1"));
    const std::string mark = "\"resume_token\":\"";
    const std::string rest = streamed.body.substr(streamed.body.find(mark) + mark.size());
    const std::string token = rest.substr(0, rest.find('"'));
    session.call("GET", "/v1/requests/stream-1?from=1&token=" + token, {}, callerHeaders());
    session.call("POST", "/orders/dispatch", R"({"bales":4})", callerHeaders("order-1"));
    session.call("POST", "/orders/dispatch", R"({"bales":4})", callerHeaders("order-1"));
    session.call("POST", "/orders/dispatch", R"({"bales":5})", callerHeaders("order-1"));
    session.call("POST", "/orders/dispatch", R"({"bales":4})", callerHeaders());
    session.call("GET", "/orders/stock/kapok", {}, callerHeaders());
    session.call("POST", chat, makeChatBody("no-such-model", false), callerHeaders());
    session.call("POST", chat, makeChatBody("fibre-check", false), {});
    session.call("POST", chat, "{", callerHeaders());
}

} // namespace

// Guards against unintended changes of the caller interface. Compares a whole session byte for byte
// with Tests/golden/session.txt; SESAME_WRITE_GOLDEN=1 writes the file again.
Test(session, matchesGoldenFile)
{
    TestDeployment deployment({.nodes = 1, .engines = 1, .applications = 1});
    Transcript session(deployment.nodes()[0].callerUrl());
    runSession(session);
    if (std::getenv("SESAME_WRITE_GOLDEN"))
        writeFile(goldenFile, session.text());
    const std::string golden = readFile(goldenFile);
    cr_expect(session.text() == golden, "the session differs from %s:\n%s", goldenFile,
              session.text().c_str());
}
