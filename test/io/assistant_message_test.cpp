#include "daemon/assistant_message.h"
#include "io/door_world.h"

using namespace azurehill;
using namespace azurehill::test;

namespace {

boost::json::object object(const char *text)
{
    return boost::json::parse(text).as_object();
}

std::string event(const char *delta, const char *reason)
{
    return fmt::format(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{},\"finish_reason\":{}}}]}}\n\n", delta,
        reason);
}

} // namespace

TEST_CASE("Deltas add up to a message")
{
    assistant_message message;

    SUBCASE("of text alone")
    {
        message.add(object(R"({"role":"assistant","content":"One "})"));
        message.add(object(R"({"content":"page"})"));
        CHECK(message.toJson() == object(R"({"role":"assistant","content":"One page"})"));
    }
    SUBCASE("of tool calls whose arguments come in pieces, mixed")
    {
        message.add(object(R"({"content":null,"tool_calls":[
            {"index":0,"id":"a","type":"function","function":{"name":"add_page","arguments":"{\"n\""}},
            {"index":1,"id":"b","type":"function","function":{"name":"issue","arguments":""}}]})"));
        message.add(object(R"({"tool_calls":[{"index":1,"function":{"arguments":"{}"}}]})"));
        message.add(object(R"({"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]})"));
        const boost::json::object whole = message.toJson();
        CHECK(whole == object(R"({"role":"assistant","content":"","tool_calls":[
            {"id":"a","type":"function","function":{"name":"add_page","arguments":"{\"n\":1}"}},
            {"id":"b","type":"function","function":{"name":"issue","arguments":"{}"}}]})"));
        CHECK(wholeDelta(whole).at("tool_calls").at(1).at("index") == 1);
    }
    SUBCASE("of parts of another form: they are passed over")
    {
        for (const char *delta :
             {R"({"content":7})", R"({"tool_calls":{}})", R"({"tool_calls":[1,{}]})",
              R"({"tool_calls":[{"index":-1,"id":"a"},{"index":1000000,"id":"b"}]})"})
            message.add(object(delta));
        CHECK(message.toJson() == object(R"({"role":"assistant","content":""})"));
    }
}

// A model asks for a tool in turn 1. In turn 2 the caller sends the tool's answer. The engine
// refused the prompt, or answered nonsense: the history held the text of turn 1 but not the tool
// call that the answer belongs to.
TEST_CASE("A tool call of the model stays in the program's history")
{
    scripted_engine engine;
    engine.events = {event(R"({"tool_calls":[{"index":0,"id":"c1","type":"function",)"
                           R"("function":{"name":"add_page","arguments":"{}"}}]})",
                           "null"),
                     event("{}", "\"tool_calls\""), "data: [DONE]\n\n"};
    door_world world;
    world.addUpstream("story-1", "story-model", engine.handler());
    world.start();
    const std::string program = world.createProgram();
    REQUIRE(world.exchange(world.modelCall(program, 1, "k1")).status == 200);
    REQUIRE(world.exchange(world.modelCall(program, 2, "k2")).status == 200);

    REQUIRE(engine.prompts.size() == 2);
    const boost::json::value second = boost::json::parse(engine.prompts[1]);
    const boost::json::value &kept = second.at("messages").at(1);
    CHECK(kept.at("role") == "assistant");
    CHECK(kept.at("tool_calls").at(0).at("function").at("name") == "add_page");

    SUBCASE("and in the stored answer of a repeated request")
    {
        const http_response again = world.exchange(world.modelCall(program, 1, "k1"));
        CHECK(again.body.find("add_page") != std::string::npos);
        CHECK(again.body.find(R"("finish_reason":"tool_calls")") != std::string::npos);
    }
}
