#include "workload.h"

#include <cmath>
#include <random>

namespace pistachiowalk::measure {
namespace {

using Generator = std::mt19937_64;
constexpr uint32_t kPlaces = 3;

uint32_t UniformInt(Generator& generator, uint32_t low, uint32_t high) {
  return low + static_cast<uint32_t>(generator() % (high - low + 1));
}

double Exponential(Generator& generator, double mean) {
  return std::exponential_distribution<double>(1.0 / mean)(generator);
}

// Parameters of a kind of conversation.
struct ConversationShape {
  uint32_t minimum_turns = 1;
  uint32_t maximum_turns = 1;
  uint32_t minimum_question = 1;
  uint32_t maximum_question = 1;
  uint32_t minimum_answer = 1;
  uint32_t maximum_answer = 1;
  double think_seconds = 0.0;
};

Conversation MakeConversation(Generator& generator,
                              const ConversationShape& shape,
                              std::vector<PrefixBlock> prompt,
                              double start) {
  Conversation conversation;
  const uint32_t turns =
      UniformInt(generator, shape.minimum_turns, shape.maximum_turns);
  const uint32_t place = UniformInt(generator, 0, kPlaces - 1);
  for (uint32_t turn = 0; turn < turns; ++turn) {
    prompt.push_back({.hash = generator(),
                      .tokens = UniformInt(generator, shape.minimum_question,
                                           shape.maximum_question)});
    TraceRequest request;
    request.delay =
        turn == 0 ? start : Exponential(generator, shape.think_seconds);
    request.origin_place = place;
    request.prompt = prompt;
    request.output_tokens =
        UniformInt(generator, shape.minimum_answer, shape.maximum_answer);
    request.answer = {.hash = generator(), .tokens = request.output_tokens};
    prompt.push_back(request.answer);
    conversation.push_back(std::move(request));
  }
  return conversation;
}

// Index of a history, by Zipf's law with exponent 0.8.
class ZipfSampler {
 public:
  explicit ZipfSampler(size_t count) {
    std::vector<double> weights;
    for (size_t i = 0; i < count; ++i) {
      weights.push_back(std::pow(static_cast<double>(i + 1), -0.8));
    }
    m_distribution = {weights.begin(), weights.end()};
  }
  size_t Pick(Generator& generator) { return m_distribution(generator); }

 private:
  std::discrete_distribution<size_t> m_distribution;
};

}  // namespace

Deployment MakeAssociation(uint64_t seed, double seconds) {
  constexpr ConversationShape kConsult{.minimum_turns = 4,
                                       .maximum_turns = 9,
                                       .minimum_question = 60,
                                       .maximum_question = 250,
                                       .minimum_answer = 120,
                                       .maximum_answer = 350,
                                       .think_seconds = 15.0};
  constexpr double kSecondsBetweenConsults = 0.4;
  Deployment deployment{.name = "association",
                        .on_demand_endpoints = 8,
                        .reclaimable_endpoints = 12,
                        .on_demand_price = 2.4,
                        .reclaimable_price = 0.8,
                        .cache_tokens = 60000,
                        .cost_weight = 3.0,
                        .recompute_weight = 1.0};
  Generator generator(seed);
  const PrefixBlock instructions{.hash = generator(), .tokens = 1200};
  for (double start = 0.0; start < seconds;
       start += Exponential(generator, kSecondsBetweenConsults)) {
    deployment.conversations.push_back(
        MakeConversation(generator, kConsult, {instructions}, start));
  }
  return deployment;
}

Deployment MakeVltavice(uint64_t seed, double seconds) {
  constexpr ConversationShape kHistory{.minimum_turns = 1,
                                       .maximum_turns = 3,
                                       .minimum_question = 40,
                                       .maximum_question = 150,
                                       .minimum_answer = 150,
                                       .maximum_answer = 400,
                                       .think_seconds = 12.0};
  constexpr ConversationShape kTicket{.minimum_question = 300,
                                      .maximum_question = 900,
                                      .minimum_answer = 60,
                                      .maximum_answer = 150};
  constexpr ConversationShape kChat{.minimum_turns = 2,
                                    .maximum_turns = 7,
                                    .minimum_question = 20,
                                    .maximum_question = 120,
                                    .minimum_answer = 60,
                                    .maximum_answer = 220,
                                    .think_seconds = 12.0};
  constexpr double kSecondsBetweenConversations = 0.28;
  constexpr size_t kHistories = 90;
  constexpr double kHistoryShare = 0.25;
  constexpr double kTicketShare = 0.6;
  Deployment deployment{.name = "vltavice",
                        .on_demand_endpoints = 4,
                        .reclaimable_endpoints = 6,
                        .on_demand_price = 2.2,
                        .reclaimable_price = 0.9,
                        .cache_tokens = 150000,
                        .cost_weight = 1.0,
                        .recompute_weight = 3.0};
  Generator generator(seed);
  const PrefixBlock planner{.hash = generator(), .tokens = 500};
  const PrefixBlock triage{.hash = generator(), .tokens = 500};
  const PrefixBlock portal{.hash = generator(), .tokens = 800};
  std::vector<PrefixBlock> histories;
  for (size_t i = 0; i < kHistories; ++i) {
    histories.push_back(
        {.hash = generator(), .tokens = UniformInt(generator, 6000, 16000)});
  }
  ZipfSampler picker(kHistories);
  std::uniform_real_distribution<double> share(0.0, 1.0);
  for (double start = 0.0; start < seconds;
       start += Exponential(generator, kSecondsBetweenConversations)) {
    const double kind = share(generator);
    if (kind < kHistoryShare) {
      deployment.conversations.push_back(MakeConversation(
          generator, kHistory, {planner, histories[picker.Pick(generator)]},
          start));
    } else if (kind < kTicketShare) {
      deployment.conversations.push_back(
          MakeConversation(generator, kTicket, {triage}, start));
    } else {
      deployment.conversations.push_back(
          MakeConversation(generator, kChat, {portal}, start));
    }
  }
  return deployment;
}

}  // namespace pistachiowalk::measure
