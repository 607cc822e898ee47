#include "Serving/servingmetrics.h"

#include <criterion/criterion.h>

using namespace sesame;

// Guards against a name of the manifest that makes the whole page of metrics unreadable.
Test(servingmetrics, labelValuesAreEscaped)
{
    const std::string service = "a\"b\\c\nd";
    const std::string escaped = R"(service="a\"b\\c\nd")";
    ServingMetrics metrics;
    metrics.recordSend(service, "complete");
    metrics.recordCrashCheck(service, "alive");
    metrics.recordFirstByte(service, std::chrono::milliseconds(7));
    metrics.setGauge("engines_usable{" + formatLabel("service", service) + "}", 1.0);
    const std::string text = metrics.render();
    for (const std::string &line :
         {"sesame_engine_sends_total{" + escaped + ",result=\"complete\"} 1\n",
          "sesame_engine_crash_checks_total{" + escaped + ",result=\"alive\"} 1\n",
          "sesame_engine_first_byte_seconds_count{" + escaped + "} 1\n",
          "sesame_engines_usable{" + escaped + "} 1\n"})
        cr_expect_neq(text.find(line), std::string::npos, "%s is not in %s", line.c_str(),
                      text.c_str());
    cr_expect_eq(text.find("\nd"), std::string::npos);
}
