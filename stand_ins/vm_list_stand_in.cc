#include "vm_list_stand_in.h"

#include "stand_in_program.h"

namespace pistachiowalk::stand_in {

namespace json = boost::json;

void VmListStandIn::Handle(const HttpExchangePtr& exchange) {
  const std::string entity_tag = "\"" + std::to_string(m_revision) + "\"";
  if (exchange->Header("If-None-Match") == entity_tag) {
    exchange->Respond({304, {{"ETag", entity_tag}}, ""});
    return;
  }
  ++m_lists_sent;
  json::array vms;
  for (const auto& [id, vm] : m_vms) {
    vms.push_back(vm);
  }
  exchange->Respond(
      {200,
       {{"Content-Type", "application/json"}, {"ETag", entity_tag}},
       json::serialize(json::object{{"vms", std::move(vms)}})});
}

void VmListStandIn::HandleControl(const HttpExchangePtr& exchange) {
  if (exchange->method() == "GET") {
    RespondJson(exchange, 200,
                json::serialize(json::object{{"lists_sent", m_lists_sent}}));
    return;
  }
  ++m_revision;
  const std::string id = exchange->QueryArgument("id");
  if (exchange->method() == "DELETE") {
    m_vms.erase(id);
  } else if (exchange->method() == "PUT") {
    const auto it = m_vms.find(id);
    if (it != m_vms.end()) {
      it->second["state"] = "leaving";
    }
  } else {
    json::error_code error;
    const json::value vm = json::parse(exchange->body(), error);
    const json::object* object = error ? nullptr : vm.if_object();
    const json::value* name = object ? object->if_contains("id") : nullptr;
    if (name == nullptr || !name->is_string()) {
      RespondJson(exchange, 400, R"({"error":"a VM needs an id"})");
      return;
    }
    m_vms[std::string(name->get_string())] = *object;
  }
  RespondJson(exchange, 200, "{}");
}

}  // namespace pistachiowalk::stand_in
