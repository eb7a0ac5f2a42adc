// The operator takes the last tenant away; its key was the only one.
#include "fleet.hpp"

#include <iostream>

using namespace review;

namespace {

constexpr auto startTimeout = milliseconds(20000);
constexpr auto applyTime = milliseconds(4000); // twice config_apply_ms
constexpr auto workTime = milliseconds(20);
constexpr auto callTimeout = milliseconds(2000);
constexpr int unauthorized = 401;

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4)
        return exitNotRun;
    Record record(argv[3]);
    Fleet fleet(record, argv[1], argv[2], 3, 1);
    Runs runs(record);
    fleet.start();
    PlainServer server(fleet.otherAddress(1), "i-1", runs, workTime);
    const std::uint64_t born = unixMilliseconds();
    Registration registration(fleet, server.id(), [&](std::uint64_t sequence) {
        return registrationBody("book", server.server().endpoint(), "ready", born, sequence);
    });
    const std::string first = R"({"name":"t1","api_keys":["key-one"],"priority":1})";
    const std::string second = R"({"name":"t2","api_keys":["key-two"],"priority":1})";
    // Without the disruption another tenant stays.
    const std::string rest = hasTrouble() ? "" : second;
    const std::string before = rest.empty() ? first : first + "," + rest;
    if (!fleet.apply(desiredState(3, "[" + before + "]"), startTimeout))
        return exitNotRun;
    const auto send = [&](const std::string &id, const std::string &key) {
        Headers headers = {{"Host", "book.example"},
                           {"X-Request-Id", id},
                           {"X-Deadline-Ms", "1500"},
                           {"Content-Type", "application/json"}};
        if (!key.empty())
            headers.emplace_back("Authorization", "Bearer " + key);
        const Message answer = call(fleet.entries()[0], fleet.entryPort(), "POST", "/unsafe/order",
                                    headers, "{}", callTimeout);
        record.write("client: request " + id + " with key \"" + key + "\" -> "
                     + std::to_string(answer.status_));
        return answer.status_;
    };
    int warmUps = 0;
    const auto isServed = [&] {
        return send("warm-" + std::to_string(++warmUps), "key-one") == 200;
    };
    if (!waitUntil(isServed, startTimeout) || send("before-unknown", "key-never") != unauthorized)
        return exitNotRun;
    if (!fleet.apply(desiredState(7, "[" + rest + "]"), startTimeout))
        return exitNotRun;
    record.write("version 7 is acknowledged: it has " + std::string(rest.empty() ? "no" : "another")
                 + " tenant");
    std::this_thread::sleep_for(applyTime);
    send("after-dropped", "key-one");
    send("after-unknown", "key-never");
    send("after-none", "");
    std::size_t ran = 0;
    for (const char *id : {"after-dropped", "after-unknown", "after-none"})
        ran += runs.countOf(id);
    record.write("requests without a valid key that ran: " + std::to_string(ran));
    std::cout << (ran > 0 ? "ROUTE, CONFIG broken: " : "held: ") << ran
              << " requests without a valid key ran\n";
    return ran > 0 ? exitBroken : exitHeld;
}
