#include "callercommand.h"

#include "caller.h"

#include <absl/flags/flag.h>

#include <cstdio>

ABSL_FLAG(std::vector<std::string>, entries, {}, "caller: base URLs of entry nodes");
ABSL_FLAG(std::string, direct, "", "caller: base URL of an engine to call without an entry node");
ABSL_FLAG(std::string, key, "", "caller: account key");
ABSL_FLAG(std::string, model, "model", "caller: model name");
ABSL_FLAG(std::string, rank, "", "caller: requested rank");
ABSL_FLAG(std::string, request_id, "", "caller: id of the first request");
ABSL_FLAG(std::string, prompt, "", "caller: prompt; generated if empty");
ABSL_FLAG(std::uint32_t, prompt_words, 64, "caller: words of a generated prompt");
ABSL_FLAG(std::uint32_t, prefixes, 1, "caller: number of shared prompt prefixes");
ABSL_FLAG(std::uint32_t, prefix_words, 0, "caller: words of a shared prompt prefix");
ABSL_FLAG(std::uint64_t, max_tokens, 32, "caller: answer length in tokens");
ABSL_FLAG(bool, stream, true, "caller: stream answers");
ABSL_FLAG(std::string, method, "POST", "caller app: HTTP method");
ABSL_FLAG(std::string, path, "/", "caller app: path of the route");
ABSL_FLAG(std::string, body, "{}", "caller app: body");
ABSL_FLAG(std::string, idempotency_key, "", "caller app: key; a new one for each call if empty");
ABSL_FLAG(std::uint32_t, concurrency, 1, "caller: maximum number of simultaneous requests");
ABSL_FLAG(double, rate, 0.0, "caller: requests per second; 0: send sequentially");
ABSL_FLAG(double, duration, 0.0, "caller: seconds to run; 0: send --requests");
ABSL_FLAG(std::uint64_t, requests, 1, "caller: number of requests");
ABSL_FLAG(double, deadline, 60.0, "caller: time limit of one request in seconds");
ABSL_FLAG(double, idle_limit, 10.0,
          "caller: seconds without data after which a connection is broken");
ABSL_FLAG(std::uint64_t, seed, 1, "caller: seed of prompts and entry choice");
ABSL_FLAG(bool, json, false, "caller: print the report as JSON");
ABSL_FLAG(bool, print, false, "caller: print the answers");

namespace sesame {

namespace {

constexpr int usageExitCode = 2;

std::chrono::milliseconds toMillis(double seconds)
{
    constexpr double millisPerSecond = 1000.0;
    return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * millisPerSecond));
}

CallerOptions readFlags()
{
    CallerOptions options;
    options.entryUrls = absl::GetFlag(FLAGS_entries);
    options.accountKey = absl::GetFlag(FLAGS_key);
    options.model = absl::GetFlag(FLAGS_model);
    options.rank = absl::GetFlag(FLAGS_rank);
    options.requestId = absl::GetFlag(FLAGS_request_id);
    options.prompt = absl::GetFlag(FLAGS_prompt);
    options.promptWords = absl::GetFlag(FLAGS_prompt_words);
    options.prefixes = absl::GetFlag(FLAGS_prefixes);
    options.prefixWords = absl::GetFlag(FLAGS_prefix_words);
    options.maxTokens = absl::GetFlag(FLAGS_max_tokens);
    options.stream = absl::GetFlag(FLAGS_stream);
    options.method = absl::GetFlag(FLAGS_method);
    options.path = absl::GetFlag(FLAGS_path);
    options.body = absl::GetFlag(FLAGS_body);
    options.idempotencyKey = absl::GetFlag(FLAGS_idempotency_key);
    options.concurrency = absl::GetFlag(FLAGS_concurrency);
    options.rate = absl::GetFlag(FLAGS_rate);
    options.duration = toMillis(absl::GetFlag(FLAGS_duration));
    options.requests = absl::GetFlag(FLAGS_requests);
    options.deadline = toMillis(absl::GetFlag(FLAGS_deadline));
    options.idleLimit = toMillis(absl::GetFlag(FLAGS_idle_limit));
    options.seed = absl::GetFlag(FLAGS_seed);
    options.printsJson = absl::GetFlag(FLAGS_json);
    options.printsAnswers = absl::GetFlag(FLAGS_print);
    return options;
}

} // namespace

int runCallerCommand(bool application)
{
    CallerOptions options = readFlags();
    options.callsApplication = application;
    const std::string engine = absl::GetFlag(FLAGS_direct);
    options.callsEngineDirectly = !engine.empty();
    if (options.callsEngineDirectly)
        options.entryUrls = {engine};
    if (options.entryUrls.empty()) {
        std::fprintf(stderr, "--entries or --direct is required\n");
        return usageExitCode;
    }
    return runCaller(options);
}

} // namespace sesame
