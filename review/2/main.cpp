/// @file
/// @brief A process that serves control is killed right after it has acknowledged a desired state
/// that adds a route with stages. Requests of that route must not run without their inputs.
#include "../harness/harness.hpp"

using namespace review;

namespace {

std::mutex mutex;
std::map<std::string, std::string> runs; // inputs of each request that a model server ran

bool answerAsModelServer(Server &server, Connection &connection, const Message &request)
{
    const std::string id = request.header("x-request-id");
    if (!request.has("x-inputs"))
        return connection.write("HTTP/1.1 400 Bad Request\r\nX-Request-Id: " + id
                                + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    const std::string inputs = request.header("x-inputs");
    {
        const std::lock_guard lock(mutex);
        runs[id] = inputs;
    }
    record.line("%s runs %s, X-Pieces \"%s\", X-Inputs \"%s\"", server.id().c_str(), id.c_str(),
                request.header("x-pieces").c_str(), inputs.c_str());
    return writeStream(connection, id, 5, 5);
}

std::string makeDocument(int version, bool withAdded)
{
    const auto route = [](const std::string &name) {
        return "{\"name\":\"" + name + "\",\"host\":\"fleet.example\",\"path_prefix\":\"/" + name
            + "/\",\"route_type\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":1900,"
              "\"priority\":0,\"service\":\"llm\",\"max_attempts\":1,\"stages\":["
              "{\"service\":\"cut\",\"after\":[],\"bytes\":8000},"
              "{\"service\":\"cut\",\"after\":[0],\"bytes\":6000}],"
              "\"public\":false,\"sticky\":true,\"resumable\":false,\"target_gap_ms\":300}";
    };
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + route("first")
        + (withAdded ? "," + route("added") : "")
        + "],\"services\":[{\"name\":\"llm\",\"health_path\":\"/health\",\"max_connections\":360,"
          "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity_tokens\":"
          "372453,"
          "\"models\":[{\"name\":\"m\"}]}},{\"name\":\"cut\",\"health_path\":\"/health\","
          "\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"pieces\":{\"slots\":1,"
          "\"queue\":2,\"batch\":8,\"call_ms\":30.0,\"item_ms\":1.0,\"headroom_mb\":18.0,"
          "\"handle_s\":4.0,\"link_mbps\":10000}}],\"limits\":{\"max_header_bytes\":16384,"
          "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
          "\"tenants\":[{\"name\":\"shop\",\"api_keys\":[\"shop-key\"],\"priority\":0}]}";
}

std::atomic<int> nextId{1};
std::map<std::string, int> answers; // by request

void sendRequest(const std::string &entry, const std::string &route)
{
    const std::string id = route + "-" + std::to_string(nextId++);
    const Answer answer = call(entry, Fleet::frontPort,
                               makeRequest("POST", "/" + route + "/x", "fleet.example",
                                           "X-Request-Id: " + id
                                               + "\r\nX-Deadline-Ms: 5000\r\n"
                                                 "Authorization: Bearer shop-key\r\nX-Model: m\r\n"
                                                 "X-Pieces: 2,1\r\nX-Piece-Key: 7c1e07a291bd\r\n"
                                                 "X-Token-Counts: 100,20\r\n"
                                                 "X-Prompt-Prefix: 5c1e07a2:60,91bd3f06:40\r\n",
                                           "prompt of " + id),
                               7000);
    record.line("client: %s at %s answered %d", id.c_str(), entry.c_str(), answer.status_);
    const std::lock_guard lock(mutex);
    answers[id] = answer.status_;
}

} // namespace

int main(int, char **arguments)
{
    const bool trouble = !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
    record.open(arguments[2]);
    Fleet fleet(arguments[1]);
    fleet.start(3, 3);
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 1; i <= 3; ++i) {
        servers.push_back(std::make_unique<Server>(fleet, "i-llm-" + std::to_string(i), "llm",
                                                   fleet.address(100 + i), answerAsModelServer));
        servers.push_back(std::make_unique<Server>(fleet, "i-cut-" + std::to_string(i), "cut",
                                                   fleet.address(110 + i), answerStageCall));
    }
    std::vector<std::string> entries;
    for (int i = 1; i <= 3; ++i)
        entries.push_back(fleet.address(10 + i));
    if (fleet.apply(makeDocument(1, false), 10000).empty())
        fleet.finish(2);
    record.line("operator: version 1 acknowledged");
    for (int i = 0; i < 100; ++i) {
        if (std::all_of(entries.begin(), entries.end(),
                        [&](const std::string &entry) { return fleet.ready(entry); }))
            break;
        pause(100);
    }
    pause(2500); // servers have registered, nodes are in touch
    std::vector<std::thread> clients;
    std::atomic<bool> ending{false};
    for (const std::string &entry : entries)
        clients.emplace_back([&, entry] {
            while (!ending) {
                sendRequest(entry, "first");
                pause(50);
            }
        });
    pause(2000);
    const std::string by = fleet.apply(makeDocument(8, true), 4000);
    const std::string node = fleet.nameOf(by);
    if (trouble && !node.empty())
        fleet.signal(node, SIGKILL);
    record.line("operator: version 8, which adds the route \"added\", acknowledged by %s",
                node.c_str());
    if (node.empty())
        fleet.finish(2);
    // Requests that use the route that was just added.
    for (int i = 0; i < 60; ++i) {
        clients.emplace_back(sendRequest, entries[static_cast<std::size_t>(i) % 3], "added");
        pause(50);
    }
    if (trouble)
        fleet.spawn(node);
    pause(2000);
    ending = true;
    for (std::thread &client : clients)
        client.join();
    int served = 0;
    int broken = 0;
    for (const auto &[id, inputs] : runs) {
        // The last stage has one piece; its handle names the request, the stage and the piece.
        const auto handles = splitList(inputs);
        const bool right =
            handles.size() == 1 && handles[0].find("/" + id + ".1.0") != std::string::npos;
        if (answers[id] == 200)
            ++served;
        if (right)
            continue;
        ++broken;
        record.line(
            "MIXED: %s ran with the inputs \"%s\" instead of its one result; its client got %d",
            id.c_str(), inputs.c_str(), answers[id]);
    }
    record.line("requests answered 200: %d; run without their inputs: %d", served, broken);
    std::printf("answered 200: %d; run without their inputs: %d\n", served, broken);
    fleet.finish(served == 0 ? 2 : broken > 0 ? 1 : 0);
}
