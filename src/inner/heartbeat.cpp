#include "inner/heartbeat.h"

#include "inner/heartbeat_json.h"

#include <memory>

namespace azurehill {

namespace internal {

Json::Value toJson(const heartbeat &beat)
{
    Json::Value evidence(Json::arrayValue);
    for (const failure_evidence &e : beat.evidence) {
        Json::Value one;
        one["daemon"] = e.run.daemon.value;
        one["incarnation"] = e.run.incarnation;
        one["observer"] = e.observer.value;
        one["sign"] = std::string(toName(e.kind));
        one["age_ms"] = Json::Int64(toMilliseconds(e.age));
        evidence.append(std::move(one));
    }
    Json::Value value;
    value["daemon"] = beat.from.daemon.value;
    value["incarnation"] = beat.from.incarnation;
    value["evidence"] = std::move(evidence);
    return value;
}

heartbeat toHeartbeat(const Json::Value &value)
{
    heartbeat beat{{{value["daemon"].asString()}, value["incarnation"].asString()}, {}};
    for (const Json::Value &one : value["evidence"]) {
        const bool refused = one["sign"].asString() == toName(failure_kind::Refused);
        beat.evidence.push_back({{{one["daemon"].asString()}, one["incarnation"].asString()},
                                 {one["observer"].asString()},
                                 refused ? failure_kind::Refused : failure_kind::Silent,
                                 milliseconds(one["age_ms"].asInt64())});
    }
    return beat;
}

} // namespace internal

std::string encodeRequest(const heartbeat &beat, std::uint64_t id)
{
    Json::Value request;
    request["jsonrpc"] = "2.0";
    request["id"] = Json::UInt64(id);
    request["method"] = "heartbeat";
    request["params"] = internal::toJson(beat);
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, request);
}

std::optional<heartbeat> decodeResponse(std::string_view text)
{
    Json::Value response;
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    std::string errors;
    try {
        // Throws if the text is nested too deeply.
        if (!reader->parse(text.data(), text.data() + text.size(), &response, &errors))
            return std::nullopt;
        if (!response.isObject() || !response["result"].isObject())
            return std::nullopt;
        return internal::toHeartbeat(response["result"]);
    } catch (const Json::Exception &) {
        return std::nullopt;
    }
}

} // namespace azurehill
